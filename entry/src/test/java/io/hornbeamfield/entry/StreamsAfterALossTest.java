package io.hornbeamfield.entry;

import static io.hornbeamfield.entry.VersionedStreams.NEW;
import static io.hornbeamfield.entry.VersionedStreams.OLD;
import static io.hornbeamfield.entry.VersionedStreams.TAKE_UPS;
import static io.hornbeamfield.entry.VersionedStreams.assertRefused;
import static io.hornbeamfield.entry.VersionedStreams.resumed;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams joined from two software versions, or refused for good, after instances were lost. */
final class StreamsAfterALossTest {
    private final VersionedStreams streams = new VersionedStreams();

    @AfterEach
    void stop() {
        streams.close();
    }

    @Test
    void aStreamGoesOnAtItsVersionAfterItsInstanceWasLostAlsoWhileTheStoreIsSilent() throws InterruptedException {
        streams.server("i-1", OLD);
        streams.server("i-8", NEW);
        streams.startTwo();
        streams.awaitServers(2);
        streams.awaitThatTheOtherInstanceIsTold();
        VersionedStreams.Begun begun = streams.begin(0, OLD);
        streams.server("i-0", NEW);
        streams.awaitServers(3);
        // The other instance is told within this time.
        Thread.sleep(500);
        streams.fleet.entries.get(0).close();
        streams.fleet.store.mode(FakeStore.Mode.SILENT);
        streams.assertGoesOnAt(1, begun);
    }

    @Test
    void afterAKillOfAllAStreamGoesOnIfOneVersionServes() {
        FakeBackendServer old = streams.server("i-8", OLD);
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        streams.assertGoesOnAt(streams.killAllAndStartOne(), begun);
        assertThat(resumed(old)).isEqualTo(1);
    }

    /**
     * Guards against a streams.fleet that refuses to continue all streams after a kill of all, though their servers are
     * there.
     */
    @Test
    void afterAKillOfAllAmongTwoVersionsAStreamGoesOnAtItsVersion() throws InterruptedException {
        streams.server("i-1", OLD);
        streams.server("i-8", NEW);
        streams.startTwo();
        streams.awaitServers(2);
        streams.awaitThatTheOtherInstanceIsTold();
        VersionedStreams.Begun begun = streams.begin(1, OLD);
        // The store is told within this time.
        Thread.sleep(1_500);
        streams.server("i-0", NEW);
        streams.awaitServers(3);
        int started = streams.killAllAndStartOne();
        streams.assertGoesOnAt(started, begun);
        assertRefused(streams.takeUp(started, "forged"), 3009);
    }

    /** Guards against an instance that reads only at its start what the others have kept in the store. */
    @Test
    void aStreamGoesOnAtAnInstanceThatDidNotKnowItAfterAllOthersWereLost() throws InterruptedException {
        streams.server("i-1", OLD);
        streams.server("i-8", NEW);
        streams.start(4);
        List<VersionedStreams.Begun> begun = beginSeveral();
        streams.fleet.entries.subList(0, 3).forEach(EntryProcess::close);
        begun.forEach(stream -> streams.assertGoesOnAt(3, stream));
        assertRefused(streams.takeUp(3, "forged"), 3009);
    }

    /** Begins streams of the old version at the first instance that the store keeps too. */
    private List<VersionedStreams.Begun> beginSeveral() throws InterruptedException {
        streams.awaitServers(2);
        streams.awaitThatTheOtherInstanceIsTold();
        List<VersionedStreams.Begun> begun = new ArrayList<>();
        for (int i = 0; i < TAKE_UPS; i++) {
            begun.add(streams.begin(0, OLD));
        }
        streams.server("i-0", NEW);
        streams.awaitServers(3);
        // The store is told within this time.
        Thread.sleep(1_500);
        return begun;
    }

    @Test
    void aStreamGoesOnAtAnInstanceThatDidNotKnowItWhileAllOthersAreSilent() throws InterruptedException {
        streams.server("i-1", OLD);
        streams.server("i-8", NEW);
        CountDownLatch heldUp = new CountDownLatch(3);
        CountDownLatch released = new CountDownLatch(1);
        streams.start(4, new ObservedLog(line -> {
            if (line.contains("i-held-up")) {
                heldUp.countDown();
                awaitUninterrupted(released);
            }
        }));
        List<VersionedStreams.Begun> begun = beginSeveral();
        streams.fleet.versionedRunner("i-held-up", "plain", "");
        awaitUninterrupted(heldUp);
        try {
            begun.forEach(stream -> streams.assertGoesOnAt(3, stream));
        } finally {
            released.countDown();
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a stream that goes on at the one version which a copy of the store still names. */
    @Test
    void afterARestoreOfTheStoreAVersionThatTheCopyLacksIsNotForgotten() {
        streams.server("i-1", NEW);
        streams.startTwo();
        streams.awaitServers(1);
        FakeStore.Copy copy = streams.fleet.store.copy();
        streams.server("i-0", OLD);
        streams.awaitServers(2);
        VersionedStreams.Begun begun = streams.begin(0, OLD);
        streams.fleet.store.remove("servers", "i-0");
        streams.awaitServers(1);
        streams.fleet.store.restore(copy, "config", "servers", "entries");
        assertRefused(streams.takeUp(1, "forgotten"), 3009);
        assertRefused(streams.takeUp(0, begun), 3004);
        EntryFixture.await(() -> streams.fleet
                .store
                .content("stream-versions", "record")
                .toString()
                .contains(OLD));
        assertRefused(streams.takeUp(1, "forgotten"), 3009);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterAKillOfAllAStreamOfAVersionThatHasLeftIsRefusedAndANewOneBegins(boolean kept) {
        streams.server("i-8", OLD);
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        FakeBackendServer other = streams.server("i-1", NEW);
        streams.awaitServers(2);
        streams.fleet.store.remove("servers", "i-8");
        streams.awaitServers(1);
        EntryFixture.await(() ->
                !streams.fleet.store.content("stream-origins", "entry-0.1").isMissingNode());
        streams.fleet.entries.forEach(EntryProcess::close);
        if (!kept) {
            streams.fleet.store.remove("stream-origins", "entry-0.1");
        }
        int started = streams.killAllAndStartOne();
        assertRefused(streams.takeUp(started, begun), kept ? 3004 : 3009);
        assertThat(resumed(other)).isZero();
        streams.begin(started);
    }
}
