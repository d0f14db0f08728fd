package io.hornbeamfield.client;

/** Receives the text of a model answer while it arrives. Calls are sequential. */
public interface AnswerListener {
    /** Called for each part, in order. The offset counts tokens from 0. */
    void text(long offset, String content);

    /**
     * Called when the answer starts again from offset 0, because another router had to run the request. The text so far
     * is void.
     */
    default void restarted() {}

    /** Returns a listener that ignores the parts; the whole text is in the outcome. */
    static AnswerListener none() {
        return (offset, content) -> {};
    }
}
