package io.hornbeamfield.it;

import io.hornbeamfield.it.fleet.ExampleFleet;
import io.hornbeamfield.net.log.Logs;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** Runs a fleet of a deployment until it is interrupted: {@code bin/fleet [quabbin|lampka]}. */
public final class RunFleet {
    private RunFleet() {}

    /** Starts the fleet and waits. */
    public static void main(String[] args) throws InterruptedException {
        Logs.setUp();
        String name = args.length == 0 ? "quabbin" : args[0];
        Path deployment = Path.of(System.getProperty("hornbeamfield.home", "."), "deploy", name);
        if (!Files.isDirectory(deployment)) {
            System.err.println("There is no deployment \"" + name + "\". Use quabbin or lampka.");
            System.exit(2);
        }
        // The processes of the fleet end with this one, by its shutdown hook.
        ExampleFleet fleet = ExampleFleet.start(deployment);
        System.out.println(fleet.routers().size() + " routers of " + name + " serve. Stop them with Ctrl-C.");
        new CountDownLatch(1).await();
    }
}
