/** The own link of a machine, in the direction to it. All its connections share it. */
final class Link {
    private int bytesPerSecond;
    private long freeAt;

    /** Passes [bytesPerSecond] from now on, or as many as there are if 0. */
    synchronized void limit(int bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
        freeAt = System.nanoTime();
    }

    /** Waits until [count] bytes are through, after all that were there before. */
    void take(int count) {
        long throughAt;
        synchronized (this) {
            if (bytesPerSecond == 0) return;
            freeAt = Math.max(freeAt, System.nanoTime()) + count * 1_000_000_000L / bytesPerSecond;
            throughAt = freeAt;
        }
        long leftMs = (throughAt - System.nanoTime()) / 1_000_000;
        if (leftMs > 0) Rig.sleep(leftMs);
    }
}
