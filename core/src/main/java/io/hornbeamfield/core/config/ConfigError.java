package io.hornbeamfield.core.config;

/**
 * A validation error of a configuration: the path of the field, for example {@code presets.peak.retryRatio}, and a
 * message that states the problem and how to fix it.
 */
public record ConfigError(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
