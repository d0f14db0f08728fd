package io.hornbeamfield.core.config;

/**
 * A fault of a configuration: the path of the field, for example {@code presets.peak.retryRatio}, what is wrong and
 * what to do.
 */
public record ConfigError(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
