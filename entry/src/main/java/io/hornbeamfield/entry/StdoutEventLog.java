package io.hornbeamfield.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Event log on standard output. Callers never block; a separate thread writes the lines in batches. */
public final class StdoutEventLog implements EventLog, AutoCloseable {
    /** About one second of log lines at ten times the highest measured rate of an instance. */
    private static final int BUFFER_CAPACITY_LINES = 4_096;

    /** Batching saves processor time; a killed process loses at most this much of its log. */
    private static final long FLUSH_INTERVAL_MS = 100;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(BUFFER_CAPACITY_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final OutputStream out;
    private final Clock clock;
    private final Thread writer = new Thread(this::writeLines, "log-writer");
    private long reportedDropped;

    private StdoutEventLog(Clock clock, OutputStream out) {
        this.clock = clock;
        this.out = out;
    }

    /** Starts the log. */
    public static StdoutEventLog start(Clock clock) {
        return start(clock, new FileOutputStream(FileDescriptor.out));
    }

    /** Starts a log that writes to the given stream. */
    static StdoutEventLog start(Clock clock, OutputStream out) {
        StdoutEventLog log = new StdoutEventLog(clock, out);
        log.writer.setDaemon(true);
        log.writer.start();
        return log;
    }

    @Override
    public Line event(String name) {
        return new Line(name, this::offer).field("t", clock.millis());
    }

    @Override
    public long dropped() {
        return dropped.get();
    }

    private void offer(String line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private void writeLines() {
        List<String> batch = new ArrayList<>();
        try {
            // An interrupt during a write ends the next take, so that what has arrived until then is written, too.
            while (true) {
                batch.add(lines.take());
                Thread.sleep(FLUSH_INTERVAL_MS);
                lines.drainTo(batch);
                write(batch);
                batch.clear();
            }
        } catch (InterruptedException e) {
            lines.drainTo(batch);
            batch.add("{\"event\":\"log-closed\"}");
            write(batch);
        }
    }

    private void write(List<String> written) {
        StringBuilder batch = new StringBuilder();
        for (String line : written) {
            batch.append(line).append('\n');
        }
        long droppedSoFar = dropped.get();
        if (droppedSoFar > reportedDropped) {
            batch.append("{\"event\":\"log-lines-dropped\",\"count\":")
                    .append(droppedSoFar - reportedDropped)
                    .append("}\n");
            reportedDropped = droppedSoFar;
        }
        try {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // Standard output is closed; the counter of dropped lines records the loss.
            dropped.incrementAndGet();
        }
    }

    @Override
    public void close() {
        writer.interrupt();
        try {
            writer.join(FLUSH_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
