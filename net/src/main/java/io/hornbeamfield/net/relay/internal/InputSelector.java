package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.core.admission.ArrivalEstimate;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.jspecify.annotations.Nullable;

/** Selects connections with input, and records when and whether there were connections to accept. */
final class InputSelector extends DefaultSelectorHandler {
    private final ArrivalEstimate estimate;
    private final List<Listening> all = new CopyOnWriteArrayList<>();

    InputSelector(ArrivalEstimate estimate) {
        super(ArrivalEstimate.MAX_LOOK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        this.estimate = estimate;
    }

    /** A listening socket and its backlog, which is created first, since connections may come at once. */
    final class Listening {
        private final ArrivalEstimate.Backlog backlog = estimate.new Backlog();
        private volatile @Nullable SelectableChannel channel;

        ArrivalEstimate.Backlog backlog() {
            return backlog;
        }

        void opened(SelectableChannel socket) {
            channel = socket;
        }

        private void looked(SelectorRunner runner, Set<SelectionKey> selected) {
            SelectableChannel socket = channel;
            backlog.looked(socket != null && selected.contains(socket.keyFor(runner.getSelector())));
        }
    }

    /** Adds a listening socket that is about to be opened. */
    Listening add() {
        Listening listening = new Listening();
        all.add(listening);
        return listening;
    }

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
        estimate.looking();
        Set<SelectionKey> selected = super.select(runner);
        all.forEach(l -> l.looked(runner, selected));
        return selected;
    }
}
