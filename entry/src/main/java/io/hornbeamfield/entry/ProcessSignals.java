package io.hornbeamfield.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * Signals sent to the process. Those that arrive during startup are kept until the daemon can handle them; by default
 * they would end the process at once.
 */
final class ProcessSignals {
    static final String HANGUP = "HUP";

    private static final List<String> STOP = List.of("TERM", "INT");

    private final List<String> pending = new ArrayList<>();
    private @Nullable Consumer<String> handler;

    private ProcessSignals() {}

    /** Registers the handlers. */
    static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        STOP.forEach(signals::register);
        signals.register(HANGUP);
        return signals;
    }

    private void register(String name) {
        Signal.handle(new Signal(name), s -> received(name));
    }

    private synchronized void received(String name) {
        Consumer<String> next = handler;
        if (next == null) {
            pending.add(name);
        } else {
            next.accept(name);
        }
    }

    /** Returns whether a signal asks the process to stop. */
    static boolean asksToStop(String name) {
        return STOP.contains(name);
    }

    /** Returns whether the process has been asked to stop while it was starting. */
    synchronized boolean stopPending() {
        return pending.stream().anyMatch(ProcessSignals::asksToStop);
    }

    /** Passes the kept signals and all further ones to a handler. */
    synchronized void forwardTo(Consumer<String> next) {
        handler = next;
        pending.forEach(next);
        pending.clear();
    }
}
