package io.hornbeamfield.net.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a value of another writer that makes the values beside it unreadable. */
final class TolerantJsonTest {
    private static byte[] list(String odd) {
        return ("{\"items\":[{\"name\":\"a\",\"text\":\"[{\\\"\"}," + odd + ",{\"name\":\"b\",\"at\":-1.5e3}]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static void assertReadable(byte[] json) {
        JsonNode items = Json.parseTolerantly(json).path("items");
        assertThat(items).hasSize(3);
        assertThat(items.path(0).path("text").asText()).isEqualTo("[{\"");
        assertThat(items.path(2).path("name").asText()).isEqualTo("b");
        assertThat(items.path(2).path("at").asDouble()).isEqualTo(-1_500);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 100, 5_000, 200_000})
    void deeplyNestedValuesAreLeftOut(int depth) {
        assertReadable(list("[".repeat(depth) + "\"]\"" + "]".repeat(depth)));
        assertReadable(list("{\"]\":".repeat(depth) + "1" + "}".repeat(depth)));
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 2_000, 500_000})
    void numbersOfManyDigitsAreLeftOut(int digits) {
        assertReadable(list("9".repeat(digits)));
        assertReadable(list("{\"slots\":-0." + "9".repeat(digits) + "}"));
    }

    @Test
    void longNamesAndBytesThatAreNoTextAreAccepted() {
        assertReadable(list("{\"" + "x".repeat(200_000) + "\":1}"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] json = list("{\"zone\":\"?\u0001\"}");
        for (byte b : json) {
            bytes.write(b == '?' ? 0xff : b);
        }
        assertReadable(bytes.toByteArray());
    }

    @Test
    void malformedInputIsRefused() {
        assertThatThrownBy(() -> Json.parseTolerantly("{\"items\":[".getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(UncheckedIOException.class);
    }
}
