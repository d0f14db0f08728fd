package io.hornbeamfield.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** An entry daemon in a process of its own, with the options that its deployment gives it. */
final class DaemonProcess implements AutoCloseable {
    private final Process process;
    private final Path output;

    private DaemonProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    /** Starts a daemon; its settings and its output are files in the directory. */
    static DaemonProcess start(EntrySettings settings, Path directory) {
        Path output = directory.resolve("daemon.log");
        try {
            Path file = Files.write(directory.resolve("settings.json"), Json.bytes(json(settings)));
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(deployedOptions());
            // An error that a library catches would otherwise go unseen.
            command.add("-XX:+ExitOnOutOfMemoryError");
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
            command.addAll(List.of("--settings", file.toString()));
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            return new DaemonProcess(process, output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> deployedOptions() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("../deploy/system.toml"))) {
            String run =
                    lines.filter(l -> l.startsWith("run = \"java ")).findFirst().orElseThrow();
            // The archive of classes belongs to the class path of the deployment.
            return Stream.of(run.split(" "))
                    .filter(option -> option.startsWith("-X") && !option.contains("SharedArchiveFile"))
                    .toList();
        }
    }

    private static ObjectNode json(EntrySettings s) {
        return Json.mapper()
                .createObjectNode()
                .put("instance", s.instance())
                .put("availabilityZone", s.availabilityZone())
                .put("callerAddress", s.callerAddress())
                .put("readinessAddress", s.readinessAddress())
                .put("directoryAddress", s.directoryAddress())
                .put("peerAddress", s.peerAddress())
                .put("peerSecret", s.peerSecret())
                .put("metricsPort", s.metricsPort())
                .put("storeAddress", s.storeAddress())
                .put("storeContactMs", s.storeContactMs())
                .put("changeAdoptionMs", s.changeAdoptionMs())
                .put("graceSeconds", s.graceMs() / 1_000)
                .put("retryRatio", s.retryRatio())
                .put("retrySlack", s.retrySlack())
                .put("retryWindowSeconds", s.retryWindowMs() / 1_000)
                .put("addressTtlSeconds", s.addressTtlSeconds());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal, such as {@code TERM}. */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Waits until the process has ended; returns whether it ended within the given time. */
    boolean awaitEnd(long ms) {
        try {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns what the daemon has written so far. */
    String output() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the last lines that the daemon has written. */
    String outputEnd() {
        String all = output();
        return all.substring(Math.max(0, all.length() - 4_000));
    }

    /** Returns the largest amount of memory that the process has occupied, in KiB. */
    long peakMemoryKib() {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            return lines.filter(l -> l.startsWith("VmHWM:"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
