package io.hornbeamfield.router.traffic.internal;

import java.util.List;

/** Receives an answer for one waiting caller. Calls are sequential and must not block. */
interface AnswerSink {
    /** Returns whether chunks reach the caller before the answer is complete. */
    boolean isStreaming();

    /** Delivers the next chunk of a model answer. */
    void chunk(Chunk chunk);

    /** Ends the answer. The list holds every chunk from offset 0 on. */
    void end(AnswerOutcome end, List<Chunk> allChunks);
}
