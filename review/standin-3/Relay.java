import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on. Those that are open when they are silenced pass nothing more and stay open; new ones work. */
final class Relay implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

    /** The own links of the machines at both ends, which what they receive takes its time of. */
    private final Link linkOfCaller;
    private final Link linkOfTarget;

    /** Whether what is connected from now on stays silent, too: the machine behind has no power. */
    volatile boolean isUnreachable;

    Relay(String ip, int port, InetSocketAddress target, Link linkOfCaller, Link linkOfTarget) throws IOException {
        this.target = target;
        this.linkOfCaller = linkOfCaller;
        this.linkOfTarget = linkOfTarget;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
        Rig.background(this::acceptAll);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Returns how many open connections are silent from now on. */
    int silence() {
        int count = 0;
        for (Pair pair : pairs) {
            pair.isSilent = true;
            count++;
        }
        pairs.clear();
        return count;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket from = listener.accept();
                Rig.background(() -> connect(from));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        if (isUnreachable) return;
        try {
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
            to.connect(target, 1_000);
        } catch (IOException refused) {
            reset(from);
            return;
        }
        Pair pair = new Pair(from, to);
        pairs.add(pair);
        Rig.background(() -> pair.pass(from, to, linkOfTarget));
        Rig.background(() -> pair.pass(to, from, linkOfCaller));
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            return;
        }
    }

    /** Both sides of a connection. Their sockets stay open once it is silent, so that neither side sees an end. */
    private final class Pair {
        private final Socket first;
        private final Socket second;
        volatile boolean isSilent;

        Pair(Socket first, Socket second) {
            this.first = first;
            this.second = second;
        }

        void pass(Socket from, Socket to, Link link) {
            byte[] buffer = new byte[4_096];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                while (true) {
                    int count = in.read(buffer);
                    if (isSilent) return;
                    if (count < 0) {
                        to.shutdownOutput();
                        return;
                    }
                    link.take(count);
                    out.write(buffer, 0, count);
                    out.flush();
                }
            } catch (IOException ended) {
                if (isSilent) return;
                pairs.remove(this);
                reset(first);
                reset(second);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
