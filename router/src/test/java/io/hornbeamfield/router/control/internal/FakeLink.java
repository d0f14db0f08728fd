package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerMessage.Hello;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** One end of a peer link, which delivers messages to a consumer except those that are dropped. */
final class FakeLink implements PeerLink {
    final List<PeerMessage> sent = new ArrayList<>();
    Consumer<PeerMessage> receiver = m -> {};
    Predicate<PeerMessage> drops = m -> false;
    private final String incarnation;

    FakeLink(String incarnation) {
        this.incarnation = incarnation;
    }

    /** Links two routers. */
    static FakeLink connect(TestRouter a, TestRouter b) {
        FakeLink toB = new FakeLink(b.incarnation);
        FakeLink toA = new FakeLink(a.incarnation);
        toB.receiver = m -> b.dispatcher.onMessage(toA, m);
        toA.receiver = m -> a.dispatcher.onMessage(toB, m);
        a.dispatcher.onLinked(toB);
        b.dispatcher.onLinked(toA);
        return toB;
    }

    @Override
    public Hello peer() {
        String instance = incarnation.substring(0, incarnation.length() - 9);
        return new Hello(incarnation, instance, "a", "10.0.0.9:80", "00");
    }

    @Override
    public boolean send(PeerMessage message) {
        sent.add(message);
        if (!drops.test(message)) {
            receiver.accept(message);
        }
        return true;
    }

    @Override
    public boolean isOpen() {
        return true;
    }

    @Override
    public void close() {}
}
