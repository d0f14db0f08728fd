package io.hornbeamfield.router.traffic.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Buffered answer to one request. Every chunk from offset 0 on is kept, so that callers can join while the request runs
 * and a retry with the same key can replay the answer.
 */
final class Answer {
    private final List<Chunk> chunks = new ArrayList<>();
    private final Map<AnswerSink, Long> sinks = new LinkedHashMap<>();
    private Optional<AnswerOutcome> end = Optional.empty();
    private boolean partlyDelivered;

    /** Adds the sink of a caller, which receives every chunk from the given offset on. */
    synchronized void attach(AnswerSink sink, long from) {
        for (Chunk c : chunks) {
            if (c.offset() >= from) {
                partlyDelivered |= sink.isStreaming();
                sink.chunk(c);
            }
        }
        if (end.isPresent()) {
            sink.end(end.get(), List.copyOf(chunks));
        } else {
            sinks.put(sink, from);
        }
    }

    /** Removes the sink of a caller. Returns whether the answer is unfinished and has no sink left. */
    synchronized boolean detach(AnswerSink sink) {
        sinks.remove(sink);
        return sinks.isEmpty() && end.isEmpty();
    }

    synchronized void append(Chunk chunk) {
        chunks.add(chunk);
        sinks.forEach((sink, from) -> {
            if (chunk.offset() >= from) {
                partlyDelivered |= sink.isStreaming();
                sink.chunk(chunk);
            }
        });
    }

    synchronized void finish(AnswerOutcome result) {
        if (end.isPresent()) {
            return;
        }
        end = Optional.of(result);
        List<Chunk> allChunks = List.copyOf(chunks);
        sinks.keySet().forEach(sink -> sink.end(result, allChunks));
        sinks.clear();
    }

    /**
     * Discards the chunks of a failed attempt, so that another attempt can start at offset 0. Returns false when a
     * caller has already received some of them: two attempts may produce different text, and an answer must not mix
     * them.
     */
    synchronized boolean resetForRetry() {
        if (partlyDelivered) {
            return false;
        }
        chunks.clear();
        return true;
    }

    /** Returns the approximate memory footprint of this answer in bytes. */
    synchronized long bytes() {
        long total = 64;
        for (Chunk c : chunks) {
            total += 40 + 2L * c.content().length();
        }
        return total + (end.orElse(null) instanceof AnswerOutcome.Service s ? s.body().length : 0);
    }
}
