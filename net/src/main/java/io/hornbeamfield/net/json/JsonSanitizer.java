package io.hornbeamfield.net.json;

import java.nio.charset.StandardCharsets;

/**
 * Replaces what a parser refuses or could not bear by {@code null}: values that are nested too deeply and numbers with
 * too many digits. Bytes that are no UTF-8 become replacement characters. One value of a list then does not make the
 * others unreadable.
 */
final class JsonSanitizer {
    private static final int MAX_DEPTH = 64;

    /** Longer than any number that a field of this system holds. */
    private static final int MAX_NUMBER_LENGTH = 64;

    private static final String REPLACEMENT = "null";

    private final String json;
    private final StringBuilder result;
    private int position;
    private int depth;

    private JsonSanitizer(String json) {
        this.json = json;
        this.result = new StringBuilder(json.length());
    }

    /** Returns the JSON text without what a parser refuses. */
    static String sanitize(byte[] json) {
        return new JsonSanitizer(new String(json, StandardCharsets.UTF_8)).run();
    }

    private String run() {
        while (position < json.length()) {
            char c = json.charAt(position);
            if (c == '"') {
                copyTo(endOfString());
            } else if (c == '{' || c == '[') {
                open();
            } else if (c == '-' || (c >= '0' && c <= '9')) {
                copyNumber();
            } else {
                depth -= c == '}' || c == ']' ? 1 : 0;
                copyTo(position + 1);
            }
        }
        return result.toString();
    }

    private void copyTo(int end) {
        result.append(json, position, end);
        position = end;
    }

    private int endOfString() {
        int end = position + 1;
        while (end < json.length() && json.charAt(end) != '"') {
            end += json.charAt(end) == '\\' ? 2 : 1;
        }
        return Math.min(json.length(), end + 1);
    }

    private void open() {
        if (depth < MAX_DEPTH) {
            depth++;
            copyTo(position + 1);
            return;
        }
        int open = 0;
        do {
            char c = json.charAt(position);
            open += c == '{' || c == '[' ? 1 : 0;
            open -= c == '}' || c == ']' ? 1 : 0;
            position = c == '"' ? endOfString() : position + 1;
        } while (open > 0 && position < json.length());
        result.append(REPLACEMENT);
    }

    private void copyNumber() {
        int end = position;
        while (end < json.length() && "+-.eE0123456789".indexOf(json.charAt(end)) >= 0) {
            end++;
        }
        if (end - position <= MAX_NUMBER_LENGTH) {
            copyTo(end);
        } else {
            result.append(REPLACEMENT);
            position = end;
        }
    }
}
