package io.hornbeamfield.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against lost or doubled updates in the simulated object API, which would hide faults of the routers. */
class ConditionalUpdateTest {
    private final PlatformFixture fixture = new PlatformFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void writtenObjectCanBeReadWithItsVersion() {
        long version = fixture.create("budgets/w:extra", 5);
        VersionedValue read = fixture.client.read("budgets/w:extra").join().orElseThrow();
        assertThat(read.version()).isEqualTo(version);
        assertThat(read.value().asInt()).isEqualTo(5);
    }

    @Test
    void writeWithAnOldVersionIsRefusedAndNamesTheCurrentObject() {
        long version = fixture.create("k", 1);
        fixture.write("k", version, 2);
        var conflict = (WriteResult.Conflict) fixture.write("k", version, 3);
        assertThat(conflict.current().orElseThrow().value().asInt()).isEqualTo(2);
    }

    @Test
    void onlyOneOfManyRacingCreatesSucceeds() {
        List<CompletableFuture<WriteResult>> racing = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            racing.add(fixture.client.write("k", 0, TextNode.valueOf("writer " + i)));
        }
        assertThat(racing.stream().map(CompletableFuture::join).filter(WriteResult.Applied.class::isInstance))
                .hasSize(1);
    }

    @Test
    void versionIsNotRepeatedAfterDeleteAndCreate() {
        long first = fixture.create("k", 1);
        fixture.client.delete("k", first).join();
        assertThat(fixture.client.read("k").join()).isEmpty();
        assertThat(fixture.create("k", 1)).isGreaterThan(first);
    }

    @Test
    void updateOfAnAbsentObjectReportsThatItIsAbsent() {
        assertThat(fixture.write("k", 9, 1)).isEqualTo(new WriteResult.Conflict(java.util.Optional.empty()));
    }

    @Test
    void valueOverOneMegabyteIsRefused() {
        var result = fixture.client.write("k", 0, TextNode.valueOf("x".repeat(1024 * 1024)));
        assertThat(result.join()).isInstanceOf(WriteResult.NotApplied.class);
        assertThat(fixture.client.read("k").join()).isEmpty();
    }

    @Test
    void listIsInKeyOrderAndContinuesAfterAKey() {
        for (String key : List.of("ledger/a/2", "ledger/a/1", "ledger/b/1", "ledger/a/3", "leases/orders")) {
            fixture.create(key, 0);
        }
        var first = fixture.client.list("ledger/a/", "", 2).join();
        assertThat(first.objects()).extracting(VersionedValue::key).containsExactly("ledger/a/1", "ledger/a/2");
        assertThat(first.more()).isTrue();
        var rest = fixture.client.list("ledger/a/", "ledger/a/2", 2).join();
        assertThat(rest.objects()).extracting(VersionedValue::key).containsExactly("ledger/a/3");
        assertThat(rest.more()).isFalse();
    }

    @Test
    void callWithoutThePlatformTokenIsRefused() {
        var call = HttpCall.get("http://127.0.0.1:" + fixture.platform.port() + "/objects/k");
        assertThat(fixture.http.send(call.bearer("other").build()).join().status())
                .isEqualTo(401);
    }
}
