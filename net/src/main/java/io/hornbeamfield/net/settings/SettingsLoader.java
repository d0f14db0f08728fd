package io.hornbeamfield.net.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Loads a JSON settings file into a record after validating it against a JSON schema. The schema of record
 * {@code RouterSettings} is the resource {@code RouterSettings.schema.json} beside the class. A refusal lists the JSON
 * pointer of each invalid value.
 *
 * <pre>{@code
 * Result<RouterSettings> settings = SettingsLoader.load(Path.of("router.json"), RouterSettings.class);
 * }</pre>
 */
public final class SettingsLoader {
    private static final JsonSchemaFactory SCHEMA_FACTORY =
            JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);

    private SettingsLoader() {}

    /** Reads and validates a settings file. */
    public static <T> Result<T> load(Path file, Class<T> type) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            return invalid("Settings file " + file + " cannot be read (" + e
                    + "). Pass an existing, readable file with --settings.");
        }
        return parse(bytes, "Settings file " + file, type);
    }

    /** Parses and validates settings. The source names their origin in error messages. */
    public static <T> Result<T> parse(byte[] json, String source, Class<T> type) {
        JsonNode tree;
        try {
            tree = Json.parse(json);
        } catch (UncheckedIOException e) {
            return invalid(source + " is not valid JSON: " + e.getMessage() + ". Correct the syntax.");
        }
        Set<ValidationMessage> errors = schemaOf(type).validate(tree);
        if (!errors.isEmpty()) {
            return invalid(
                    source + " does not match " + schemaName(type) + ". Correct these values: " + describe(errors));
        }
        try {
            return Result.ok(Json.read(tree, type));
        } catch (UncheckedIOException e) {
            return invalid(source + " has a value of the wrong type: " + e.getMessage());
        }
    }

    private static <T> Result<T> invalid(String detail) {
        return Result.refused(ResultCode.INVALID_SETTINGS, detail);
    }

    private static String describe(Set<ValidationMessage> errors) {
        return errors.stream()
                .map(e -> path(e) + ": " + message(e))
                .sorted()
                .distinct()
                .collect(Collectors.joining("; "));
    }

    /**
     * Returns the JSON pointer of the invalid value. For an unknown or missing field the validator reports the
     * enclosing object and the field name is appended.
     */
    private static String path(ValidationMessage error) {
        String location = error.getInstanceLocation().toString();
        return error.getProperty() == null ? location : location + "/" + error.getProperty();
    }

    private static String message(ValidationMessage error) {
        return switch (error.getType()) {
            case "additionalProperties" -> "this field does not exist, remove it or correct its name";
            case "required" -> "this field is missing, add it";
            default -> error.getError();
        };
    }

    private static String schemaName(Class<?> type) {
        return type.getSimpleName() + ".schema.json";
    }

    private static JsonSchema schemaOf(Class<?> type) {
        try (InputStream in = type.getResourceAsStream(schemaName(type))) {
            if (in == null) {
                throw new IllegalStateException(
                        "Resource " + schemaName(type) + " is missing beside " + type.getName() + ".");
            }
            SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                    .pathType(PathType.JSON_POINTER)
                    .build();
            return SCHEMA_FACTORY.getSchema(in, config);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
