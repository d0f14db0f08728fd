package io.hornbeamfield.router;

import io.hornbeamfield.core.result.Refusal;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.net.log.Logs;
import io.hornbeamfield.net.settings.SettingsLoader;
import io.hornbeamfield.router.control.RouterSettings;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import org.jboss.logging.Logger;

/** Runs a router as a process: {@code hornbeamfield-router --settings router.json}. SIGTERM stops it gracefully. */
public final class Main {
    /** Time for the network stack to send the last answers after they were written. */
    private static final long LINGER_MS = 300;

    private Main() {}

    /** Starts the router and serves until SIGTERM. */
    public static void main(String[] args) throws InterruptedException {
        Logs.setUp();
        ArgumentParser parser = ArgumentParsers.newFor("hornbeamfield-router")
                .build()
                .description("Routes requests to backend servers.");
        parser.addArgument("--settings").required(true).help("JSON settings file");
        Path file;
        try {
            file = Path.of(parser.parseArgs(args).getString("settings"));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            return;
        }
        Result<RouterSettings> settings = SettingsLoader.load(file, RouterSettings.class);
        if (settings instanceof Result.Ok<RouterSettings> ok) {
            serve(ok.value());
        } else if (settings instanceof Result.Refused<RouterSettings> refused) {
            refuse(refused.refusal());
        }
    }

    private static void refuse(Refusal refusal) {
        System.err.println(refusal.detail());
        System.exit(2);
    }

    private static void serve(RouterSettings settings) throws InterruptedException {
        RouterProcess router = RouterProcess.start(settings);
        Logger.getLogger(Main.class)
                .infof("Router %s serves callers on %s.", router.incarnation(), settings.callerAddress());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "shutdown"));
        new CountDownLatch(1).await();
    }

    /**
     * Leaves gracefully, waiting without a time limit for requests in progress; a second signal cannot be seen here.
     */
    private static void stop(RouterProcess router) {
        try {
            router.leave().join();
            Thread.sleep(LINGER_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        router.close();
        Runtime.getRuntime().halt(0);
    }
}
