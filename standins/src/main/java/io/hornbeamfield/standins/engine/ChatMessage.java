package io.hornbeamfield.standins.engine;

/** A message of a prompt. */
public record ChatMessage(String role, String content) {
    /** Returns the number of whitespace-separated words, which are the prompt tokens of the stand-in. */
    public int tokens() {
        String text = content.strip();
        return text.isEmpty() ? 0 : text.split("\\s+").length;
    }
}
