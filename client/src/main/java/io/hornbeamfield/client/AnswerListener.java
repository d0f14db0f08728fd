package io.hornbeamfield.client;

/** Receives the text of a model answer as it arrives. Calls are made one at a time, in order. */
public interface AnswerListener {
    /** Called for each part of the text, in order. The offset is a token index that starts at 0. */
    void text(long offset, String content);

    /**
     * Called when the answer restarts at offset 0 because another router had to run the request. Text received so far
     * must be discarded.
     */
    default void restarted() {}

    /** Returns a listener that ignores the parts; the outcome still holds the whole text. */
    static AnswerListener none() {
        return (offset, content) -> {};
    }
}
