package io.hornbeamfield.entry.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.net.json.Json;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against ledgers that an instance writes and another one cannot read. */
final class LedgerJsonTest {
    private static final PrepaidLedger PLAIN = PrepaidLedger.empty().with("plots", "a/1", 10);

    private static PrepaidLedger read(String text) {
        return LedgerJson.read(Json.parse(text.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void whatIsWrittenIsRead() {
        PrepaidLedger all = new PrepaidLedger(
                Map.of("plots", Map.of("a/1", 10L)),
                Map.of("a/1", Set.of("b/1")),
                4,
                new PrepaidLedger.Version(3, 17),
                Set.of("c/1"),
                true);
        assertThat(LedgerJson.read(LedgerJson.write(all))).isEqualTo(all);
        assertThat(LedgerJson.read(LedgerJson.write(PLAIN))).isEqualTo(PLAIN);
    }

    @Test
    void aLedgerOfAnEarlierVersionIsRead() {
        assertThat(read("{\"taken\":{\"plots\":{\"a/1\":10}},\"witnesses\":{}}"))
                .isEqualTo(PLAIN);
    }

    @Test
    void aLedgerOfAStoreWithoutErasCanBeReadByEarlierVersions() {
        assertThat(LedgerJson.write(PLAIN).fieldNames()).toIterable().containsExactlyInAnyOrder("taken", "witnesses");
    }

    @Test
    void contentThatIsNoLedgerIsRefused() {
        assertThatThrownBy(() -> read("{\"taken\":\"none\"}")).isInstanceOf(UncheckedIOException.class);
        assertThatThrownBy(() -> read("[]")).isInstanceOf(UncheckedIOException.class);
        assertThatThrownBy(() -> read("{\"taken\":{},\"witnesses\":{},\"other\":1}"))
                .isInstanceOf(UncheckedIOException.class);
    }
}
