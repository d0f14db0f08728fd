package io.hornbeamfield.standins.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.json.Json;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Ways in which stand-ins answer or fail to answer. */
public final class Answers {
    private Answers() {}

    /** Answers with a value as JSON. */
    public static void json(HttpExchange x, int status, Object value) {
        x.replyJson(status, Json.bytes(value));
    }

    /** Answers with an error text. */
    public static void error(HttpExchange x, int status, String detail) {
        json(x, status, Map.of("detail", detail));
    }

    /** Closes the connection without an answer. */
    public static void closeUnanswered(HttpExchange x) {
        x.startStream(200, Map.of()).abort();
    }

    /** Creates a single daemon timer thread that drops its pending tasks on shutdown. */
    public static ScheduledExecutorService timer(String name) {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        });
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    /** Runs a task after a delay, at once if the delay is 0. */
    public static void after(ScheduledExecutorService timer, double delayMs, Runnable task) {
        if (delayMs <= 0) {
            task.run();
        } else {
            timer.schedule(task, (long) (delayMs * 1e6), TimeUnit.NANOSECONDS);
        }
    }
}
