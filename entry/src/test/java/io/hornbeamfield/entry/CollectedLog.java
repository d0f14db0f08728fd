package io.hornbeamfield.entry;

import java.util.List;

/** Test log that collects its lines. */
final class CollectedLog implements EventLog {
    private final List<String> lines;

    private CollectedLog(List<String> lines) {
        this.lines = lines;
    }

    /** Returns a log that adds its lines to a list that several threads may use. */
    static EventLog into(List<String> lines) {
        return new CollectedLog(lines);
    }

    @Override
    public Line event(String name) {
        return new Line(name, lines::add);
    }

    @Override
    public long dropped() {
        return 0;
    }
}
