import java.nio.file.Path;

/** Runs one case: Main CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Main {
    private Main() {}

    public static void main(String[] arguments) {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            record.line("case " + arguments[0] + (hasTrouble ? "" : ", without the disruption"));
            try {
                code = run(arguments[0], record, hasTrouble);
            } catch (Exception failed) {
                failed.printStackTrace();
                record.line("the case could not run: " + failed);
                code = 2;
            }
            record.line(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
        } catch (java.io.IOException failed) {
            failed.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private static int run(String name, Record record, boolean hasTrouble) throws Exception {
        return switch (name) {
            case "busy" -> BusyCase.run(record, hasTrouble);
            case "cold" -> ColdCase.run(record, hasTrouble);
            case "link" -> LinkCase.run(record, hasTrouble);
            case "poison" -> PoisonCase.run(record, hasTrouble);
            case "region" -> RegionCase.run(record, hasTrouble);
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }
}
