package io.hornbeamfield.router.traffic.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The answer to one request, kept from its first part on, so that callers can join while it runs and a retry with the
 * same key can replay it.
 */
final class Answer {
    private final List<Chunk> chunks = new ArrayList<>();
    private final Map<AnswerSink, Long> sinks = new LinkedHashMap<>();
    private Optional<AnswerEnd> end = Optional.empty();
    private boolean delivered;

    /** Adds a caller, who gets everything from the given offset on. */
    synchronized void attach(AnswerSink sink, long from) {
        for (Chunk c : chunks) {
            if (c.offset() >= from) {
                delivered |= sink.showsParts();
                sink.chunk(c);
            }
        }
        if (end.isPresent()) {
            sink.end(end.get(), List.copyOf(chunks));
        } else {
            sinks.put(sink, from);
        }
    }

    /** Removes a caller and returns whether an unfinished answer has none left. */
    synchronized boolean detach(AnswerSink sink) {
        sinks.remove(sink);
        return sinks.isEmpty() && end.isEmpty();
    }

    synchronized void append(Chunk chunk) {
        chunks.add(chunk);
        sinks.forEach((sink, from) -> {
            if (chunk.offset() >= from) {
                delivered |= sink.showsParts();
                sink.chunk(chunk);
            }
        });
    }

    synchronized void finish(AnswerEnd result) {
        if (end.isPresent()) {
            return;
        }
        end = Optional.of(result);
        List<Chunk> whole = List.copyOf(chunks);
        sinks.keySet().forEach(sink -> sink.end(result, whole));
        sinks.clear();
    }

    /**
     * Drops the parts of a failed attempt, so that another attempt can start at offset 0. Returns false when a caller
     * already has some of them: two attempts may produce different text, and an answer must not mix them.
     */
    synchronized boolean restart() {
        if (delivered) {
            return false;
        }
        chunks.clear();
        return true;
    }

    /** Returns the bytes that this answer occupies, roughly. */
    synchronized long bytes() {
        long total = 64;
        for (Chunk c : chunks) {
            total += 40 + 2L * c.content().length();
        }
        return total + (end.orElse(null) instanceof AnswerEnd.Service s ? s.body().length : 0);
    }
}
