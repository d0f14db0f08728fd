package io.hornbeamfield.standins.raw;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A place at which an answer stops.
 *
 * @param apply returns the bytes that are sent of a whole answer
 * @param afterContent whether everything but the end of the body's framing is sent
 */
public record AnswerCut(String name, UnaryOperator<String> apply, boolean afterContent) {
    /** How the end of a body is marked. */
    public enum Framing {
        LENGTH,
        CHUNKS,
        CONNECTION;

        /** Returns a response with the parts of its body. */
        public String response(String head, List<String> parts) {
            String body = String.join("", parts);
            if (this == LENGTH) {
                return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            }
            if (this == CONNECTION) {
                return head + "Connection: close\r\n\r\n" + body;
            }
            StringBuilder chunks = new StringBuilder(head + "Transfer-Encoding: chunked\r\n\r\n");
            parts.forEach(p -> chunks.append(RawResponse.chunk(p)));
            return chunks.append("0\r\n\r\n").toString();
        }
    }

    private static AnswerCut at(String name, UnaryOperator<String> apply) {
        return new AnswerCut(name, apply, false);
    }

    /** Stops a number of bytes after the head, or before it ends if the number is negative. */
    private static AnswerCut byHead(String name, int bytes) {
        return at(name, wire -> wire.substring(0, headEnd(wire) + bytes));
    }

    /** Stops a number of bytes before the end. */
    private static AnswerCut byEnd(String name, int bytes, boolean afterContent) {
        return new AnswerCut(name, wire -> wire.substring(0, wire.length() - bytes), afterContent);
    }

    /** Stops a number of bytes after the last occurrence of a text. */
    public static AnswerCut after(String name, String text, int bytes) {
        return at(name, wire -> wire.substring(0, wire.lastIndexOf(text) + text.length() + bytes));
    }

    private static int headEnd(String wire) {
        return wire.indexOf("\r\n\r\n") + 4;
    }

    /** Returns the places in the head. */
    public static List<AnswerCut> inHead() {
        return List.of(
                at("before the head", wire -> ""),
                at("in the status line", wire -> wire.substring(0, 10)),
                at("after the status line", wire -> wire.substring(0, wire.indexOf("\r\n") + 2)),
                after("in the name of a header", "Content-Ty", 0),
                after("in the value of a header", "Content-Type: te", 0),
                byHead("before the last line feed of a header", -3),
                byHead("after the last header", -2),
                byHead("before the last line feed of the head", -1),
                byHead("after the head", 0));
    }

    /** Returns the places in the framing of a body. */
    public static List<AnswerCut> inFraming(Framing framing) {
        List<AnswerCut> cuts = new ArrayList<>();
        if (framing == Framing.CHUNKS) {
            cuts.add(byHead("in the first chunk size", 1));
            cuts.add(byHead("after the first chunk size", 4));
            cuts.add(byEnd("before the end of a chunk", 7, true));
            cuts.add(byEnd("in the end of a chunk", 6, true));
            cuts.add(byEnd("before the last chunk", 5, true));
            cuts.add(byEnd("in the last chunk", 4, true));
            cuts.add(byEnd("before the blank line of the last chunk", 2, true));
            cuts.add(byEnd("in the blank line of the last chunk", 1, true));
        } else if (framing == Framing.LENGTH) {
            cuts.add(new AnswerCut(
                    "with a body shorter than its length",
                    wire -> wire.replaceFirst("Content-Length: ", "Content-Length: 1"),
                    true));
        }
        return cuts;
    }

    @Override
    public String toString() {
        return name;
    }
}
