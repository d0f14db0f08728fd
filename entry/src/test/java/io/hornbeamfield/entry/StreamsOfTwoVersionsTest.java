package io.hornbeamfield.entry;

import static io.hornbeamfield.entry.VersionedStreams.NEW;
import static io.hornbeamfield.entry.VersionedStreams.OLD;
import static io.hornbeamfield.entry.VersionedStreams.TAKE_UPS;
import static io.hornbeamfield.entry.VersionedStreams.assertGoesOn;
import static io.hornbeamfield.entry.VersionedStreams.assertRefused;
import static io.hornbeamfield.entry.VersionedStreams.resumed;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that are joined from the events of servers of two software versions. */
final class StreamsOfTwoVersionsTest {
    private final VersionedStreams streams = new VersionedStreams();

    @AfterEach
    void stop() {
        streams.close();
    }

    @Test
    void aStreamThatBreaksOffWithinAnAnswerGoesOnAtItsVersionOnly() {
        FakeBackendServer first = streams.server("i-1", OLD);
        FakeBackendServer second = streams.server("i-2", OLD);
        FakeBackendServer other = streams.server("i-3", NEW);
        streams.fleet.configure(1);
        streams.fleet.startReady();
        streams.awaitServers(3);
        int complete = 0;
        for (int i = 0; i < 3 * TAKE_UPS; i++) {
            complete += streams.send(0, "key-1").complete() ? 1 : 0;
        }
        assertThat(resumed(other)).isZero();
        assertThat(resumed(first) + resumed(second)).isEqualTo(complete).isPositive();
    }

    @Test
    void aStreamThatBreaksOffWithoutAnotherServerOfItsVersionIsCut() {
        FakeBackendServer old = streams.server("i-8", OLD);
        FakeBackendServer other = streams.server("i-1", NEW);
        streams.fleet.configure(1);
        streams.fleet.startReady();
        streams.awaitServers(2);
        for (int i = 0; i < TAKE_UPS; i++) {
            streams.begin(0);
        }
        assertThat(resumed(old) + resumed(other)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStreamThatIsTakenUpGoesOnAtItsVersionAtEachInstance(int instance) {
        FakeBackendServer old = streams.server("i-8", OLD);
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        FakeBackendServer other = streams.server("i-1", NEW);
        FakeBackendServer another = streams.server("i-2", NEW);
        streams.awaitServers(3);
        for (int i = 0; i < TAKE_UPS; i++) {
            streams.assertGoesOnAt(instance, begun);
        }
        assertThat(resumed(old)).isEqualTo(TAKE_UPS);
        assertThat(resumed(other) + resumed(another)).isZero();
    }

    @Test
    void aStreamGoesOnAtItsVersionAtAnInstanceThatHasJustStarted() {
        streams.server("i-1", OLD);
        streams.server("i-8", NEW);
        streams.startTwo();
        streams.awaitServers(2);
        VersionedStreams.Begun begun = streams.begin(0, OLD);
        streams.server("i-0", NEW);
        streams.fleet.startReady();
        streams.awaitServers(3);
        streams.assertGoesOnAt(2, begun);
        assertRefused(streams.takeUp(2, "forged"), 3009);
    }

    @Test
    void aStreamOfAVersionWithoutServersIsRefusedAtOnceAndServedLater() {
        streams.server("i-8", OLD);
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        FakeBackendServer other = streams.server("i-1", NEW);
        streams.awaitServers(2);
        streams.fleet.store.remove("servers", "i-8");
        streams.awaitServers(1);
        long startNs = System.nanoTime();
        ReceivedAnswer refused = streams.takeUp(1, begun);
        assertThat(System.nanoTime() - startNs).isLessThan(1_000_000_000L);
        assertRefused(refused, 3004);
        assertThat(Header.find(refused.headers(), "Retry-After")).isPresent();
        assertThat(resumed(other)).isZero();
        FakeBackendServer again = streams.server("i-9", OLD);
        streams.awaitServers(2);
        streams.assertGoesOnAt(1, begun);
        assertThat(resumed(again)).isEqualTo(1);
    }

    @Test
    void aServerThatReturnsUnderItsIdWithAnotherVersionGetsNoStreamOfItsEarlierOne() {
        FakeBackendServer server = streams.server("i-8", OLD);
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        server.version(NEW);
        server.register(streams.fleet.store, false);
        EntryFixture.await(() -> streams.fleet.entries.stream()
                .allMatch(e -> e.blackboard().servers("model").get(0).version().equals(NEW)
                        && e.blackboard()
                                .mayBeginStream(e.blackboard().servers("model").get(0))));
        assertRefused(streams.takeUp(0, begun), 3004);
        assertRefused(streams.takeUp(1, begun), 3004);
        assertThat(resumed(server)).isZero();
    }

    @Test
    void anIdThatIsUnknownOrAnotherWorkspacesOpensNoStream() {
        streams.server("i-8", OLD);
        streams.server("i-1", NEW);
        streams.fleet.store.put("config", "main", streams.fleet.configOfTwoWorkspaces(1));
        streams.fleet.startReady();
        streams.awaitServers(2);
        VersionedStreams.Begun begun = streams.begin(0);
        streams.assertGoesOnAt(0, begun);
        assertRefused(streams.send(0, "key-2", "Resumes: " + begun.attempt(), "Last-Event-Id: 1"), 3009);
        assertRefused(streams.takeUp(0, "forged"), 3009);
        assertRefused(streams.send(0, "key-1", "Last-Event-Id: 1"), 3009);
        assertRefused(streams.send(0, "key-1", "Resumes: " + "x".repeat(10_000), "Last-Event-Id: 1"), 3009);
    }

    @Test
    void aRecordOfVersionsThatWasDeletedIsWrittenAgain() {
        streams.server("i-8", OLD);
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        streams.fleet.store.remove("stream-versions", "record");
        assertRefused(streams.takeUp(1, "forged"), 3009);
        EntryFixture.await(
                () -> !streams.fleet.store.content("stream-versions", "record").isMissingNode());
        streams.assertGoesOnAt(streams.killAllAndStartOne(), begun);
    }

    @Test
    void aFleetWhoseServersNameNoVersionResumesAsBefore() {
        FakeBackendServer server = streams.server("i-1", "");
        streams.startTwo();
        VersionedStreams.Begun begun = streams.begin(0);
        int started = streams.killAllAndStartOne();
        streams.assertGoesOnAt(started, begun);
        assertGoesOn(streams.send(started, "key-1", "Last-Event-Id: 1"), begun);
        assertThat(resumed(server)).isEqualTo(2);
    }
}
