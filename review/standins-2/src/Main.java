import java.nio.file.Path;

/** Plays a case; the exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Main {
    private static final int MAX_MILLIS = 115_000;

    private Main() {}

    public static void main(String[] arguments) {
        Util.thread(() -> {
            Util.sleep(MAX_MILLIS);
            System.out.println("the case takes too long");
            Util.flushRecord();
            System.exit(2);
        });
        int result;
        try {
            result = play(arguments[0], Path.of(arguments[1]));
        } catch (Throwable e) {
            e.printStackTrace();
            result = 2;
        }
        Util.flushRecord();
        System.exit(result);
    }

    private static int play(String name, Path folder) throws Exception {
        return switch (name) {
            case "revoked-key" -> RevokedKeyCase.play(folder);
            case "late-beat" -> LateBeatCase.play(folder);
            case "head-limit" -> HeadLimitCase.play(folder);
            case "second-answer" -> SecondAnswerCase.play(folder);
            case "prompt-part" -> PromptPartCase.play(folder);
            default -> throw new IllegalArgumentException(name);
        };
    }
}
