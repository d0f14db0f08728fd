package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.hornbeamfield.net.json.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against one odd entry of another writer that ends the daemon or keeps it from following the others. */
final class OddServerEntryTest {
    private static final int DEPTH = 100_000;
    private static final int DIGITS = 100_000;

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static String value(String name) {
        return switch (name) {
            case "deep list" -> "[".repeat(DEPTH) + "]".repeat(DEPTH);
            case "deep object" -> "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH);
            case "large number" -> "1" + "0".repeat(DIGITS);
            case "large exponent" -> "1e999999999";
            case "long name" -> "{\"" + "x".repeat(DIGITS) + "\":1}";
            default -> name;
        };
    }

    private void putOdd(String field, String value) {
        ObjectNode entry = Json.mapper().createObjectNode();
        entry.put("service", "plain").put("address", "127.0.0.1:1").put("zone", "north");
        entry.put("slots", 6).put("state", "ready").put("born", 1L);
        entry.putRawValue(field, new RawValue(value(value)));
        fleet.store.put("servers", "i-odd", entry);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @CsvSource({
        "zone, deep list",
        "zone, deep object",
        "other, deep list",
        "other, deep object",
        "other, long name",
        "slots, deep list",
        "slots, large number",
        "slots, large exponent",
        "slots, 99999999999",
        "slots, -1",
        "slots, 0",
        "slots, 1.5",
        "born, large number",
        "born, 99999999999999999999",
        "born, deep object",
        "other, large number",
        "address, '\"127.0.0.1:0\"'",
        "address, '\"127.0.0.1:65536\"'",
        "address, '\"127.0.0.1:99999\"'",
        "address, '\"999.0.0.1:80\"'",
        "address, deep list",
        "state, deep object",
        "service, large number",
    })
    void serversAreFollowedBesideAnOddEntry(String field, String value) {
        fleet.runner("i-1", "plain");
        fleet.configure(1);
        putOdd(field, value);
        fleet.startReady();
        assertThat(fleet.call("GET", "/read/x").all()).contains("done by i-1");
        fleet.store.remove("servers", "i-odd");
        putOdd(field, value);
        fleet.runner("i-2", "plain");
        EntryFixture.await(() ->
                fleet.entries.get(0).blackboard().servers("plain").stream().anyMatch(s -> s.id().equals("i-2")));
        fleet.store.remove("servers", "i-1");
        EntryFixture.await(() ->
                fleet.entries.get(0).blackboard().servers("plain").stream().noneMatch(s -> s.id().equals("i-1")));
        for (int i = 0; i < 4; i++) {
            assertThat(fleet.call("GET", "/read/x").all()).contains("done by i-2");
        }
    }
}
