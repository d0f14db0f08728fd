package io.hornbeamfield.router.traffic.internal;

import java.util.List;

/** Receives an answer for one waiting caller. Calls are sequential and must not block. */
interface AnswerSink {
    /** Returns whether parts reach the caller before the end of the answer. */
    boolean showsParts();

    /** Passes on the next part of a model answer. */
    void chunk(Chunk chunk);

    /** Ends the answer. The list holds every part from offset 0 on. */
    void end(AnswerEnd end, List<Chunk> whole);
}
