package io.hornbeamfield.load;

import io.hornbeamfield.net.json.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Requests in the order in which they are sent. Stored as one JSON object per line. */
public record Trace(List<TraceEntry> entries) {
    /** Largest number of requests of a trace. */
    public static final int MAX_ENTRIES = 2_000_000;

    public Trace {
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException("A trace has at most " + MAX_ENTRIES + " requests.");
        }
        entries = entries.stream()
                .sorted(Comparator.comparingLong(TraceEntry::atMs))
                .toList();
    }

    /** Reads a trace file. A line that is not an entry throws {@link UncheckedIOException}. */
    public static Trace read(Path file) {
        List<TraceEntry> entries = new ArrayList<>();
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            String line = lines.readLine();
            while (line != null && entries.size() <= MAX_ENTRIES) {
                if (!line.isBlank()) {
                    entries.add(Json.read(line.getBytes(StandardCharsets.UTF_8), TraceEntry.class));
                }
                line = lines.readLine();
            }
        } catch (IOException e) {
            throw new UncheckedIOException("Trace file " + file + " cannot be read.", e);
        }
        return new Trace(entries);
    }

    /** Writes this trace to a file. */
    public void write(Path file) {
        List<String> lines = entries.stream()
                .map(e -> new String(Json.bytes(e), StandardCharsets.UTF_8))
                .toList();
        try {
            Files.write(file, lines);
        } catch (IOException e) {
            throw new UncheckedIOException("Trace file " + file + " cannot be written.", e);
        }
    }
}
