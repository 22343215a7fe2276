import java.util.Map;

/** Runs one case, and exits with 2 if it could not run. */
final class Run {
    /** A case, which gets its folder. */
    interface Case {
        void run(String[] arguments) throws Exception;
    }

    private static final Map<String, Case> CASES = Map.of(
        "calls", CallsCase::main,
        "crashes", CrashesCase::main,
        "idle", IdleCase::main,
        "leaving", LeavingCase::main,
        "limits", LimitsCase::main);

    public static void main(String[] arguments) {
        try {
            CASES.get(arguments[0]).run(new String[] {arguments[1]});
        } catch (Exception exception) {
            exception.printStackTrace();
            System.exit(2);
        }
    }
}
