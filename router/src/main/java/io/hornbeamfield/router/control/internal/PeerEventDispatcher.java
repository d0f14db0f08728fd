package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerListener;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.router.control.ControlLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Dispatches the events of peer links to the registered controllers on the control thread. */
public final class PeerEventDispatcher implements PeerListener {
    private final ControlLoop loop;
    private final Map<String, PeerLink> links = new LinkedHashMap<>();
    private final List<PeerHandler> handlers = new ArrayList<>();

    public PeerEventDispatcher(ControlLoop loop) {
        this.loop = loop;
    }

    void register(PeerHandler handler) {
        handlers.add(handler);
    }

    /** Returns the open links. Called on the control thread. */
    List<PeerLink> links() {
        return List.copyOf(links.values());
    }

    /** Returns the link to an incarnation. Called on the control thread. */
    Optional<PeerLink> link(String incarnation) {
        return Optional.ofNullable(links.get(incarnation));
    }

    @Override
    public void onLinked(PeerLink link) {
        loop.execute(() -> {
            links.put(link.peer().incarnation(), link);
            handlers.forEach(h -> h.linked(link));
        });
    }

    @Override
    public void onMessage(PeerLink link, PeerMessage message) {
        loop.execute(() -> handlers.forEach(h -> h.received(link, message)));
    }

    @Override
    public void onClosed(PeerLink link) {
        loop.execute(() -> {
            if (links.remove(link.peer().incarnation(), link)) {
                handlers.forEach(h -> h.unlinked(link));
            }
        });
    }
}
