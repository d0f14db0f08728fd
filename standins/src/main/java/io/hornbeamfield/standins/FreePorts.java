package io.hornbeamfield.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out free loopback ports below the usual range of ephemeral ports, so that no outgoing connection takes a port
 * between its choice and its use, or while a cut link does not listen on it.
 *
 * <pre>{@code
 * String address = FreePorts.freeAddress(); // for example 127.0.0.1:15872
 * }</pre>
 */
public final class FreePorts {
    private static final int FIRST = 15_000;
    private static final int COUNT = 17_000;
    /** Processes of different builds start their search at different ports. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private FreePorts() {}

    private static int free() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("No loopback port from " + FIRST + " to " + (FIRST + COUNT) + " is free.");
    }

    /** Returns an address of the form {@code 127.0.0.1:port} on which nothing listens. */
    public static String freeAddress() {
        return "127.0.0.1:" + free();
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
