package io.hornbeamfield.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/** Log that passes each line to an action, which may throw or wait in place of the daemon. */
final class ObservedLog implements EventLog {
    private final Consumer<String> action;
    private final List<String> lines = new CopyOnWriteArrayList<>();

    ObservedLog(Consumer<String> action) {
        this.action = action;
    }

    @Override
    public Line event(String name) {
        return new Line(name, line -> {
            lines.add(line);
            action.accept(line);
        });
    }

    @Override
    public long dropped() {
        return 0;
    }

    List<String> lines() {
        return lines;
    }
}
