import java.nio.file.Path;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. */
final class Script {
    /** Result of a case. */
    enum Result { HELD, BROKEN, NOT_RUN }

    interface Body {
        Result run(Path repository, Record record, boolean trouble) throws Exception;
    }

    private Script() {}

    static void main(String[] arguments, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Result result;
        try (Record record = new Record(Path.of(arguments[1]))) {
            record.say(trouble ? "with the disruption" : "without the disruption");
            result = body.run(Path.of(arguments[0]).toAbsolutePath().normalize(), record, trouble);
        } catch (Throwable e) {
            e.printStackTrace();
            result = Result.NOT_RUN;
        }
        System.exit(switch (result) {
            case HELD -> 0;
            case BROKEN -> 1;
            case NOT_RUN -> 2;
        });
    }
}
