package io.hornbeamfield.standins.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Options of a stand-in, read from the command line or from a JSON settings file. An option named {@code loadLagMs} is
 * the field of that name in the file and {@code --load-lag-ms} on the command line, which wins over the file.
 *
 * <pre>{@code
 * StandInOptions options = StandInOptions.of("standin-service", "Simulated plain service")
 *         .option("address", "127.0.0.1:0", "address to listen on")
 *         .parse(args);
 * }</pre>
 */
public final class StandInOptions {
    private final Map<String, String> values;

    private StandInOptions(Map<String, String> values) {
        this.values = values;
    }

    /** Starts the declaration of a program's options. */
    public static Builder of(String program, String description) {
        return new Builder(program, description);
    }

    /** Returns an option as text. */
    public String text(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new IllegalArgumentException("Option \"" + name + "\" is not declared.");
        }
        return value;
    }

    /** Returns an option as a whole number. */
    public int integer(String name) {
        return Integer.parseInt(text(name));
    }

    /** Returns an option as a number. */
    public double number(String name) {
        return Double.parseDouble(text(name));
    }

    /** Returns an option as a flag. */
    public boolean flag(String name) {
        return Boolean.parseBoolean(text(name));
    }

    /** Declares options with their defaults. */
    public static final class Builder {
        private final ArgumentParser parser;
        private final Map<String, String> defaults = new LinkedHashMap<>();

        private Builder(String program, String description) {
            parser = ArgumentParsers.newFor(program).build().description(description);
            parser.addArgument("--settings").metavar("FILE").help("JSON file with any of the options below");
        }

        /** Declares an option. */
        public Builder option(String name, String defaultValue, String help) {
            defaults.put(name, defaultValue);
            parser.addArgument("--" + kebabCase(name))
                    .dest(name)
                    .metavar("VALUE")
                    .help(help + " (default: " + defaultValue + ")");
            return this;
        }

        /** Parses the command line; a mistake in it ends the process with status 2. */
        public StandInOptions parse(String[] args) {
            try {
                return parseStrictly(args);
            } catch (ArgumentParserException e) {
                parser.handleError(e);
                System.exit(2);
                throw new IllegalStateException(e);
            }
        }

        /** Parses the command line and reports a mistake as an exception. */
        public StandInOptions parseStrictly(String... args) throws ArgumentParserException {
            Namespace given = parser.parseArgs(args);
            Map<String, String> values = new LinkedHashMap<>(defaults);
            String file = given.getString("settings");
            if (file != null) {
                addFile(Path.of(file), values);
            }
            defaults.keySet().forEach(name -> {
                String value = given.getString(name);
                if (value != null) {
                    values.put(name, value);
                }
            });
            return new StandInOptions(values);
        }

        private void addFile(Path file, Map<String, String> values) throws ArgumentParserException {
            JsonNode settings;
            try {
                settings = Json.parse(Files.readAllBytes(file));
            } catch (IOException | UncheckedIOException e) {
                throw new ArgumentParserException("Cannot read the settings file " + file + ": " + e, parser);
            }
            for (var field : settings.properties()) {
                if (!defaults.containsKey(field.getKey())) {
                    throw new ArgumentParserException(
                            "The settings file " + file + " has the unknown field \"" + field.getKey() + "\".", parser);
                }
                values.put(field.getKey(), field.getValue().asText());
            }
        }

        private static String kebabCase(String name) {
            return name.replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
        }
    }
}
