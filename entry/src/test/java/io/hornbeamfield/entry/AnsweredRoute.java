package io.hornbeamfield.entry;

/** A route of the fixture, and the answers of its servers. */
enum AnsweredRoute {
    RESUMABLE("/chat/x", "model", true, true),
    STREAM("/report/x", "model", true, false),
    IDEMPOTENT("/read/x", "plain", false, true),
    NON_IDEMPOTENT("/write/x", "plain", false, false);

    /** Number of pieces of a whole answer. */
    private static final int PIECES = 3;

    final String path;
    final String service;
    final boolean stream;
    final boolean repeatable;

    AnsweredRoute(String path, String service, boolean stream, boolean repeatable) {
        this.path = path;
        this.service = service;
        this.stream = stream;
        this.repeatable = repeatable;
    }

    String piece(int number) {
        return stream ? "id: " + number + "\ndata: piece " + number + "\n\n" : "piece number " + number + ". ";
    }

    /** Returns the pieces from the given one on. */
    String pieces(int from) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i <= PIECES; i++) {
            text.append(piece(i));
        }
        return text.toString();
    }

    /** Returns what a caller may get of a part of a body. */
    String whole(String part) {
        return stream ? part.substring(0, part.lastIndexOf("\n\n") < 0 ? 0 : part.lastIndexOf("\n\n") + 2) : "";
    }
}
