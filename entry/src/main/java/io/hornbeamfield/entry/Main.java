package io.hornbeamfield.entry;

import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.time.MonotonicClock;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the entry daemon: {@code hornbeamfield-entry --settings FILE}. SIGTERM shuts it down gracefully. */
public final class Main {
    /** Environment variable with the path of the settings file, used if the command line does not name one. */
    private static final String SETTINGS_VARIABLE = "HORNBEAMFIELD_BOOT";

    private static final int EXIT_INVALID_INPUT = 2;

    /** Time for the network to transmit the last responses before the process halts. */
    private static final long LINGER_MS = 100;

    private Main() {}

    /** Starts the daemon and serves until SIGTERM. */
    public static void main(String[] args) throws InterruptedException {
        ProcessSignals signals = ProcessSignals.install();
        ArgumentParser parser = ArgumentParsers.newFor("hornbeamfield-entry")
                .build()
                .description("Relays callers' requests to backend servers.");
        parser.addArgument("--settings")
                .help("JSON settings file; default: the file that " + SETTINGS_VARIABLE + " names");
        parser.addArgument("--check").action(Arguments.storeTrue()).help("only check the settings file");
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_INVALID_INPUT);
            return;
        }
        String file = options.getString("settings");
        if (file == null) {
            file = System.getenv(SETTINGS_VARIABLE);
        }
        if (file == null) {
            System.err.println("No settings file given. Pass it with --settings or set " + SETTINGS_VARIABLE + ".");
            System.exit(EXIT_INVALID_INPUT);
            return;
        }
        Result<EntrySettings> settings = EntrySettings.load(Path.of(file));
        if (settings instanceof Result.Refused<EntrySettings> refused) {
            System.err.println(refused.refusal().detail());
            System.exit(EXIT_INVALID_INPUT);
        } else if (settings instanceof Result.Ok<EntrySettings> ok
                && !options.getBoolean("check")
                && !signals.stopPending()) {
            serve(Path.of(file), ok.value(), signals);
        }
    }

    private static void serve(Path file, EntrySettings settings, ProcessSignals signals) throws InterruptedException {
        StdoutEventLog log = StdoutEventLog.start(MonotonicClock.start());
        EventLogHandler.install(log);
        EntryProcess entry = EntryProcess.start(file, settings, log);
        CountDownLatch stopped = new CountDownLatch(1);
        signals.forwardTo(name -> {
            log.event("signal").field("name", name).write();
            if (ProcessSignals.asksToStop(name)) {
                entry.shutDown().whenComplete((ignored, failure) -> stopped.countDown());
            } else {
                entry.reloadSettings();
            }
        });
        entry.reloadSettings();
        stopped.await();
        Thread.sleep(LINGER_MS);
        log.close();
        Runtime.getRuntime().halt(0);
    }
}
