package review;

/** Runs one case: {@code Main NAME FOLDER}. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
public final class Main {
    private static final long LIMIT_MS = 115_000;

    private interface Case {
        int run(Fleet fleet, boolean hasTrouble) throws Exception;
    }

    private Main() {}

    public static void main(String[] arguments) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
                System.err.println("over the time limit");
                System.exit(2);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Case selected = switch (arguments[0]) {
            case "poison" -> PoisonCase::run;
            case "stale-page" -> StalePageCase::run;
            case "poison-answer" -> PoisonAnswerCase::run;
            default -> throw new IllegalArgumentException(arguments[0]);
        };
        int result = 2;
        try (Fleet fleet = new Fleet(arguments[1])) {
            result = selected.run(fleet, hasTrouble);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        System.exit(result);
    }
}
