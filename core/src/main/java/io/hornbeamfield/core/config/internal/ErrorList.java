package io.hornbeamfield.core.config.internal;

import io.hornbeamfield.core.config.ConfigError;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Collects validation errors and provides the checks that several sections share. */
public final class ErrorList {
    private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9-]{0,39}");

    private final List<ConfigError> errors = new ArrayList<>();

    /** Adds an error. */
    public void add(String path, String message) {
        errors.add(new ConfigError(path, message));
    }

    /** Returns all errors in insertion order. */
    public List<ConfigError> list() {
        return List.copyOf(errors);
    }

    /** Requires an integer within inclusive bounds. */
    public void requireRange(String path, long value, long min, long max) {
        if (value < min || value > max) {
            add(path, "is " + value + ". Use a value from " + min + " to " + max + ".");
        }
    }

    /** Requires a number within inclusive bounds; NaN is an error. */
    public void requireRange(String path, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            add(path, "is " + value + ". Use a value from " + min + " to " + max + ".");
        }
    }

    /** Requires an id or name of 1 to 40 lower-case letters, digits and hyphens. */
    public void requireId(String path, String id) {
        if (!ID.matcher(id).matches()) {
            add(
                    path,
                    "has the name \"" + id + "\". Use 1 to 40 lower-case letters, digits and hyphens, and a letter or"
                            + " digit first.");
        }
    }
}
