package io.hornbeamfield.it.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The processes that this JVM started. They end with it, by their own handles. Their settings and output are deleted at
 * the end unless the system property {@code it.keepLogs} is true.
 */
final class Processes implements AutoCloseable {
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    /** Short-lived small processes: start fast and stay small rather than run fast. */
    private static final List<String> SMALL = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx160m");

    private final Path directory;
    private final List<ManagedProcess> started = new ArrayList<>();
    private final Thread hook = new Thread(this::killAll, "kill-fleet");

    Processes() {
        try {
            directory = Files.createTempDirectory("hornbeamfield-fleet-");
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot create a temporary directory.", e);
        }
        Runtime.getRuntime().addShutdownHook(hook);
    }

    Path directory() {
        return directory;
    }

    synchronized ManagedProcess start(String name, String mainClass, List<String> args) {
        ManagedProcess process = ManagedProcess.start(name, mainClass, SMALL, args, directory);
        started.add(process);
        return process;
    }

    static void awaitAddresses(ManagedProcess process) {
        Waits.until(process.name() + " has started", START_LIMIT, process::hasPrintedItsAddresses);
    }

    private synchronized void killAll() {
        started.forEach(ManagedProcess::close);
    }

    @Override
    public void close() {
        killAll();
        started.forEach(p -> p.awaitExit(Duration.ofSeconds(5)));
        Runtime.getRuntime().removeShutdownHook(hook);
        if (!Boolean.getBoolean("it.keepLogs")) {
            deleteDirectory();
        }
    }

    private void deleteDirectory() {
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot delete " + directory + ".", e);
        }
    }
}
