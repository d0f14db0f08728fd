package io.hornbeamfield.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/** Entry daemons in processes of their own that a test kills, stops, freezes and starts again. */
final class SoakDaemons implements AutoCloseable {
    private static final long STOP_MS = 6_000;

    private final Path directory;
    private final List<Daemon> daemons = new ArrayList<>();
    private int starts;

    /** One daemon over all its processes. */
    final class Daemon {
        private final EntrySettings settings;
        private final AtomicLong kills = new AtomicLong();
        private volatile @Nullable DaemonProcess process;

        private Daemon(EntrySettings settings) {
            this.settings = settings;
        }

        String address() {
            return settings.callerAddress();
        }

        /** Returns how often this daemon was killed, so that a caller sees whether it was while it waited. */
        long kills() {
            return kills.get();
        }

        boolean runs() {
            DaemonProcess p = process;
            return p != null && p.isAlive();
        }

        void start() {
            try {
                starts++;
                Path files = Files.createDirectory(directory.resolve(settings.instance() + "-" + starts));
                process = DaemonProcess.start(settings, files);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        void kill() {
            kills.incrementAndGet();
            end("KILL");
        }

        /** Asks the daemon to stop, without waiting until it has. */
        void stop() {
            signal("TERM");
        }

        void freeze() {
            signal("STOP");
        }

        void resume() {
            signal("CONT");
        }

        /** Starts the daemon again once the process that was asked to stop has ended. */
        void startAfterStop() {
            DaemonProcess p = process;
            if (p != null && !p.awaitEnd(STOP_MS)) {
                throw new AssertionError(settings.instance() + " does not end within its grace period.\n" + p.output());
            }
            start();
        }

        boolean ready() {
            try (Caller caller = Caller.send(settings.readinessAddress(), "GET", "/readyz")) {
                return caller.status() == 200;
            } catch (UncheckedIOException | StringIndexOutOfBoundsException e) {
                return false;
            }
        }

        private void end(String signal) {
            signal(signal);
            DaemonProcess p = process;
            if (p != null) {
                p.awaitEnd(STOP_MS);
            }
        }

        private void signal(String name) {
            DaemonProcess p = process;
            if (p != null && p.isAlive()) {
                p.signal(name);
            }
        }
    }

    SoakDaemons(Path directory) {
        this.directory = directory;
    }

    void add(EntrySettings settings) {
        Daemon daemon = new Daemon(settings);
        daemon.start();
        daemons.add(daemon);
    }

    List<Daemon> all() {
        return daemons;
    }

    void awaitReady() {
        daemons.forEach(d -> EntryFixture.await(d::ready));
    }

    @Override
    public void close() {
        daemons.forEach(d -> d.end("KILL"));
    }
}
