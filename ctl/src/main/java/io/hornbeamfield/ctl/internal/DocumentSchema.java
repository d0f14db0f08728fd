package io.hornbeamfield.ctl.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.hornbeamfield.core.config.ConfigError;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;

/**
 * Checks the shape of a configuration document: fields, types and enum values. Ranges of values are checked by the
 * validator.
 */
final class DocumentSchema {
    private static final String RESOURCE = "configuration.schema.json";
    private static final JsonSchema SCHEMA = load();

    private DocumentSchema() {}

    /** Checks a partial document, in which required fields may be absent. */
    static List<ConfigError> checkPartial(JsonNode document) {
        return check(document, false);
    }

    /** Checks a complete document, in which every required field is present. */
    static List<ConfigError> checkComplete(JsonNode document) {
        return check(document, true);
    }

    private static List<ConfigError> check(JsonNode document, boolean complete) {
        return SCHEMA.validate(document).stream()
                .filter(m -> complete || !m.getType().equals("required"))
                .map(m -> new ConfigError(path(m), text(m)))
                .distinct()
                .sorted(Comparator.comparing(ConfigError::path))
                .toList();
    }

    private static String path(ValidationMessage m) {
        StringBuilder path = new StringBuilder();
        String pointer = m.getInstanceLocation().toString();
        String[] segments =
                pointer.isEmpty() ? new String[0] : pointer.substring(1).split("/", -1);
        for (int i = 0; i < segments.length; i++) {
            String name = segments[i].replace("~1", "/").replace("~0", "~");
            if (i == segments.length - 1 && isArrayElement(m)) {
                path.append('[').append(name).append(']');
            } else {
                path.append(path.isEmpty() ? "" : ".").append(name);
            }
        }
        if (m.getProperty() != null) {
            path.append(path.isEmpty() ? "" : ".").append(m.getProperty());
        }
        return path.isEmpty() ? "document" : path.toString();
    }

    /** Decides by the schema location: the name of a pool or workspace may be a number too, like an array index. */
    private static boolean isArrayElement(ValidationMessage m) {
        return m.getSchemaLocation().toString().contains("/items");
    }

    private static String text(ValidationMessage m) {
        return switch (m.getType()) {
            case "additionalProperties" -> "does not exist. Remove it or correct its name.";
            case "required" -> "is missing. Add it.";
            case "type" -> "has the wrong type: " + m.getError() + ". Correct the value.";
            case "enum" -> m.getError() + ". Correct the value.";
            case "minimum", "maximum" -> "is out of range: " + m.getError() + ". Correct the value.";
            default -> m.getError() + ". Correct the value.";
        };
    }

    private static JsonSchema load() {
        try (InputStream in = DocumentSchema.class.getResourceAsStream(RESOURCE)) {
            if (in == null) {
                throw new IllegalStateException("Resource " + RESOURCE + " is missing.");
            }
            SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                    .pathType(PathType.JSON_POINTER)
                    .build();
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in, config);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
