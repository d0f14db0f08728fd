package io.hornbeamfield.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.OpenStream;
import io.hornbeamfield.net.json.Json;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against engines that forget abandoned work or that hide silent streams and lost cancels from the tests. */
class EngineStreamControlTest {
    private EngineFixture fixture = new EngineFixture(EngineStandIn.builder().tokenMs(4));
    private final List<OpenStream> opened = new ArrayList<>();
    private final List<ChatMessage> messages = EngineFixture.messages("hello");
    private final ReplyText expected = ReplyText.of(EngineFixture.WORKSPACE, messages, 60);

    @AfterEach
    void close() {
        fixture.close();
    }

    private EngineFixture.Reader stream() {
        return EngineFixture.Reader.open(fixture.http, fixture.chat("r1", "normal", 60, true, messages), opened);
    }

    private EngineFixture.Reader resume(int from) {
        var call = HttpCall.get(fixture.url("/v1/streams/r1?from=" + from)).build();
        return EngineFixture.Reader.open(fixture.http, call, opened);
    }

    @Test
    void abandonedStreamGoesOnProducingAndIsRecorded() throws Exception {
        var reader = stream();
        EngineFixture.await(() -> !reader.chunks().isEmpty());
        opened.get(0).cancel();
        EngineFixture.await(() -> fixture.state("r1").equals("finished"));
        assertThat(fixture.record("r1").completionTokens()).isEqualTo(expected.tokens());
    }

    @Test
    void streamResumesAtItsOffsetWithoutASecondRun() throws Exception {
        var reader = stream();
        EngineFixture.await(() -> reader.chunks().size() > 3);
        opened.get(0).cancel();
        var resumed = resume(3);
        resumed.ended.get(5, TimeUnit.SECONDS);
        assertThat(resumed.content()).isEqualTo(expected.part(3, expected.tokens()));
        assertThat(fixture.engine.records()).hasSize(1);
    }

    @Test
    void cancelStopsTheProductionAndReturnsTheUsage() throws Exception {
        // The production must not end before the cancellation arrives, also when the test is delayed.
        fixture.close();
        fixture = new EngineFixture(EngineStandIn.builder().tokenMs(80));
        var reader = stream();
        EngineFixture.await(() -> reader.chunks().size() > 3);
        var reply = fixture.http
                .send(HttpCall.delete(fixture.url("/v1/streams/r1")).build())
                .join();
        int produced =
                Json.parse(reply.body()).path("usage").path("completion_tokens").asInt();
        assertThat(produced).isBetween(4, expected.tokens() - 1);
        Thread.sleep(600);
        assertThat(fixture.record("r1").completionTokens()).isEqualTo(produced);
        assertThat(fixture.record("r1").state()).isEqualTo("cancelled");
    }

    @Test
    void unknownStreamIsReportedAsAbsent() {
        var call = HttpCall.get(fixture.url("/v1/streams/none?from=0")).build();
        assertThat(fixture.http.send(call).join().status()).isEqualTo(404);
    }

    @Test
    void lostCancelGetsNoAnswerAndProductionGoesOn() throws Exception {
        fixture.post("/control/faults", "{\"loseCancels\":true}");
        var reader = stream();
        EngineFixture.await(() -> !reader.chunks().isEmpty());
        var cancel = HttpCall.delete(fixture.url("/v1/streams/r1")).build();
        assertThat(fixture.http.send(cancel)).failsWithin(Duration.ofSeconds(2));
        EngineFixture.await(() -> fixture.state("r1").equals("finished"));
    }

    @Test
    void silentStreamStaysOpenAndCanBeResumedOnAFreshConnection() throws Exception {
        fixture.post("/control/faults", "{\"silentStreams\":1}");
        var silent = stream();
        EngineFixture.await(() -> fixture.state("r1").equals("finished"));
        var resumed = resume(2);
        resumed.ended.get(5, TimeUnit.SECONDS);
        assertThat(resumed.content()).isEqualTo(expected.part(2, expected.tokens()));
        assertThat(silent.chunks()).hasSize(2);
        assertThat(silent.ended).isNotDone();
    }
}
