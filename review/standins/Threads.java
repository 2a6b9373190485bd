/** Starts daemon threads, so that an ended main method ends the process. */
final class Threads {
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (Exception e) {
                if (System.getenv("REVIEW_DEBUG") != null) e.printStackTrace();
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
