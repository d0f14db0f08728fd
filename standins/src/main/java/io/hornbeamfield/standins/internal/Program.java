package io.hornbeamfield.standins.internal;

import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** Runs a stand-in as a process until it is told to stop. */
public final class Program {
    private Program() {}

    /** Prints the bound addresses as one JSON line and waits for SIGTERM. */
    public static void run(Map<String, String> addresses, AutoCloseable standIn) {
        CountDownLatch stop = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            close(standIn);
                            stop.countDown();
                        },
                        "shutdown"));
        System.out.println(new String(Json.bytes(addresses), StandardCharsets.UTF_8));
        System.out.flush();
        try {
            stop.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(AutoCloseable standIn) {
        try {
            standIn.close();
        } catch (Exception e) {
            System.err.println("Cannot close " + standIn.getClass().getSimpleName() + ": " + e);
        }
    }
}
