package io.hornbeamfield.net.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * JSON serialisation and parsing shared by all modules. Unknown fields are rejected.
 *
 * <pre>{@code
 * byte[] bytes = Json.bytes(record);
 * BudgetRecord record = Json.read(bytes, BudgetRecord.class);
 * }</pre>
 */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    /** Accepts what another writer may have put into one value of a list. */
    private static final ObjectMapper TOLERANT_MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNameLength(Integer.MAX_VALUE)
                            .maxStringLength(Integer.MAX_VALUE)
                            .build())
                    .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
                    .build())
            .build();

    private Json() {}

    /** Returns the shared object mapper. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Serialises a value as UTF-8 JSON. */
    public static byte[] bytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "Cannot write " + value.getClass().getName() + " as JSON.", e);
        }
    }

    /** Converts a value to a JSON tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Parses JSON into a tree. Malformed input throws {@link UncheckedIOException}. */
    public static JsonNode parse(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses JSON to which several writers contribute. Values that are nested too deeply, and numbers with too many
     * digits, become null, so that they do not make the rest unreadable. Malformed input throws
     * {@link UncheckedIOException}.
     */
    public static JsonNode parseTolerantly(byte[] json) {
        try {
            return MAPPER.readTree(json);
        } catch (IOException strict) {
            try {
                return TOLERANT_MAPPER.readTree(JsonSanitizer.sanitize(json));
            } catch (IOException e) {
                e.addSuppressed(strict);
                throw new UncheckedIOException(e);
            }
        }
    }

    /**
     * Parses JSON into a typed value. Malformed input, or input that does not fit the type, throws
     * {@link UncheckedIOException}.
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Converts a tree to a typed value. A tree that does not fit the type throws {@link UncheckedIOException}. */
    public static <T> T read(JsonNode tree, Class<T> type) {
        try {
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
