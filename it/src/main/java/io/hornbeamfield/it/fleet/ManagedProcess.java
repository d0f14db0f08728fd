package io.hornbeamfield.it.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A Java process with this build's class path. Signals go to the id of exactly this process.
 *
 * <pre>{@code
 * ManagedProcess router = ManagedProcess.start("r1", "io.hornbeamfield.router.Main", options, args, directory);
 * router.pause();
 * router.resume();
 * }</pre>
 */
public final class ManagedProcess implements AutoCloseable {
    private final String name;
    private final Process process;
    private final Path output;
    private final Path errors;

    private ManagedProcess(String name, Process process, Path output, Path errors) {
        this.name = name;
        this.process = process;
        this.output = output;
        this.errors = errors;
    }

    /** Starts a main class; its output goes to files in the directory. */
    public static ManagedProcess start(
            String name, String mainClass, List<String> jvmOptions, List<String> args, Path directory) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(args);
        Path output = directory.resolve(name + ".out");
        Path errors = directory.resolve(name + ".err");
        try {
            Process process = new ProcessBuilder(command)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                    .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
                    .start();
            return new ManagedProcess(name, process, output, errors);
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot start " + name + ".", e);
        }
    }

    /** Returns the id of the process. */
    public long pid() {
        return process.pid();
    }

    /** Returns the processor time that the process has used. */
    public Duration processorTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    /** Returns whether the process runs or is paused. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Stops the process with SIGSTOP; it keeps its memory and its connections. */
    public void pause() {
        signal("STOP");
    }

    /** Continues a paused process. */
    public void resume() {
        signal("CONT");
    }

    /** Asks the process to stop with SIGTERM. */
    public void terminate() {
        signal("TERM");
    }

    /** Ends the process at once with SIGKILL. */
    public void kill() {
        process.destroyForcibly();
        awaitExit(Duration.ofSeconds(10));
    }

    private void signal(String signal) {
        try {
            Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
            if (kill.waitFor() != 0) {
                throw new IllegalStateException("Cannot send SIG" + signal + " to " + name + ".");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for the end of the process and returns whether it came in time. */
    public boolean awaitExit(Duration limit) {
        try {
            return process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns the exit status of a process that has ended. */
    public int exitStatus() {
        return process.exitValue();
    }

    /** Returns whether the process has printed the line that says it is ready. */
    boolean hasPrintedItsAddresses() {
        if (!process.isAlive()) {
            throw new IllegalStateException(
                    name + " ended with status " + process.exitValue() + ": " + text(errors) + text(output));
        }
        return text(output).startsWith("{");
    }

    /** Returns what the process wrote to standard error. */
    public String errors() {
        return text(errors);
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
