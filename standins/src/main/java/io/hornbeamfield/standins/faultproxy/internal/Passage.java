package io.hornbeamfield.standins.faultproxy.internal;

import io.hornbeamfield.standins.faultproxy.LinkFaults;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** A connection of a link: the caller's socket and the socket to the target. */
final class Passage {
    private static final int MAX_QUEUED_PARTS = 256;

    private record Part(byte[] bytes, long dueNanos) {}

    private final Socket caller;
    private final Socket target;
    private final Supplier<LinkFaults> faults;
    private final Consumer<Passage> onClosed;
    private final AtomicInteger openDirections = new AtomicInteger(2);
    private volatile boolean silent;

    Passage(Socket caller, Socket target, Supplier<LinkFaults> faults, Consumer<Passage> onClosed) {
        this.caller = caller;
        this.target = target;
        this.faults = faults;
        this.onClosed = onClosed;
    }

    void start(ExecutorService threads) {
        pass(caller, target, LinkFaults::toTargetMs, threads);
        pass(target, caller, LinkFaults::toCallerMs, threads);
    }

    private void pass(Socket from, Socket to, ToDoubleFunction<LinkFaults> latencyMs, ExecutorService threads) {
        BlockingQueue<Part> queue = new ArrayBlockingQueue<>(MAX_QUEUED_PARTS);
        threads.execute(() -> read(from, queue, latencyMs));
        threads.execute(() -> write(to, queue));
    }

    /** An empty part stands for the end of the stream. */
    private void read(Socket from, BlockingQueue<Part> queue, ToDoubleFunction<LinkFaults> latencyMs) {
        byte[] buffer = new byte[16 * 1024];
        try {
            int n = from.getInputStream().read(buffer);
            while (n >= 0) {
                queue.put(new Part(Arrays.copyOf(buffer, n), due(latencyMs)));
                n = from.getInputStream().read(buffer);
            }
            queue.put(new Part(new byte[0], due(latencyMs)));
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long due(ToDoubleFunction<LinkFaults> latencyMs) {
        return System.nanoTime() + (long) (latencyMs.applyAsDouble(faults.get()) * 1e6);
    }

    private void write(Socket to, BlockingQueue<Part> queue) {
        try {
            while (!to.isClosed()) {
                Part part = queue.poll(1, TimeUnit.SECONDS);
                if (part == null) {
                    continue;
                }
                long wait = part.dueNanos() - System.nanoTime();
                if (wait > 0) {
                    TimeUnit.NANOSECONDS.sleep(wait);
                }
                if (silent) {
                    continue;
                }
                if (part.bytes().length == 0) {
                    to.shutdownOutput();
                    endDirection();
                    return;
                }
                to.getOutputStream().write(part.bytes());
            }
        } catch (IOException e) {
            reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDirection() throws IOException {
        if (openDirections.decrementAndGet() == 0) {
            caller.close();
            target.close();
            onClosed.accept(this);
        }
    }

    /** Stops passing bytes on while both connections stay open. */
    void silence() {
        silent = true;
    }

    void reset() {
        closeWithReset(caller);
        closeWithReset(target);
        onClosed.accept(this);
    }

    /** Closes a socket so that the other side sees a reset and not a regular end. */
    static void closeWithReset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is closed already.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to release.
        }
    }
}
