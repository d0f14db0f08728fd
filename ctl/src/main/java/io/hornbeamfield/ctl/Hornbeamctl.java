package io.hornbeamfield.ctl;

import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.ctl.internal.Arguments;
import io.hornbeamfield.ctl.internal.BudgetCommands;
import io.hornbeamfield.ctl.internal.Budgets;
import io.hornbeamfield.ctl.internal.ConfigCommands;
import io.hornbeamfield.ctl.internal.ConfigStore;
import io.hornbeamfield.ctl.internal.CtlFailure;
import io.hornbeamfield.ctl.internal.ExitStatus;
import io.hornbeamfield.ctl.internal.InstanceCommands;
import io.hornbeamfield.ctl.internal.Output;
import io.hornbeamfield.ctl.internal.Platform;
import io.hornbeamfield.ctl.internal.PresetCommands;
import io.hornbeamfield.ctl.internal.ServerCommands;
import io.hornbeamfield.ctl.internal.WorkspaceCommands;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.platform.HttpPlatformClient;
import io.hornbeamfield.net.settings.SettingsLoader;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The operator's command line tool. Results go to standard output, numbered errors to standard error, and the exit
 * status tells the kind of failure.
 *
 * <pre>{@code
 * int status = new Hornbeamctl(System.out, System.err).run("presets", "switch", "peak");
 * }</pre>
 */
public final class Hornbeamctl {
    private final PrintStream out;
    private final PrintStream err;

    public Hornbeamctl(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Runs one command and exits with its status. */
    @SuppressWarnings("SystemExitOutsideMain")
    public static void main(String[] args) {
        System.exit(new Hornbeamctl(System.out, System.err).run(args));
    }

    /** Runs one command and returns the exit status. */
    public int run(String... args) {
        ArgumentParser parser = Arguments.parser();
        try {
            Namespace arguments = parser.parseArgs(args);
            Output output = run(arguments);
            out.println(output.text(arguments.getString("output").equals("table")));
            return output.exitStatus();
        } catch (HelpScreenException e) {
            return ExitStatus.OK;
        } catch (ArgumentParserException e) {
            return fail(new CtlFailure(
                    ResultCode.MALFORMED_REQUEST, e.getMessage() + ". Run hornbeamctl --help for the arguments."));
        } catch (CtlFailure e) {
            return fail(e);
        } catch (RuntimeException e) {
            err.println("hornbeamctl: internal error, the outcome is not known: " + e + ". Report this message.");
            return ExitStatus.INTERNAL;
        }
    }

    private int fail(CtlFailure e) {
        err.println("hornbeamctl: " + e.code().number() + " " + e.code() + ": " + e.getMessage());
        return ExitStatus.of(e.code());
    }

    private static Output run(Namespace arguments) {
        CtlSettings settings = settings(arguments);
        try (HttpClient http = HttpClient.create("hornbeamctl")) {
            Platform platform =
                    new Platform(new HttpPlatformClient(http, settings.platformAddress(), settings.platformToken()));
            return run(arguments, settings, platform, http);
        }
    }

    private static Output run(Namespace a, CtlSettings settings, Platform platform, HttpClient http) {
        ConfigStore store = new ConfigStore(platform);
        Budgets records = new Budgets(platform);
        ConfigCommands config = new ConfigCommands(store, records);
        WorkspaceCommands workspaces = new WorkspaceCommands(store);
        InstanceCommands instances = new InstanceCommands(platform, store, http, settings.operatorToken());
        BudgetCommands budgets = new BudgetCommands(records, platform, instances);
        String command = a.getString("command");
        return switch (command) {
            case "apply" -> config.apply(Path.of(a.getString("file")));
            case "get" -> config.get();
            case "diff" -> config.diff(Path.of(a.getString("file")));
            case "presets list" -> new PresetCommands(store).list();
            case "presets switch" -> new PresetCommands(store).switchTo(a.getString("name"));
            case "budgets list" -> budgets.list();
            case "budgets show" -> budgets.show(a.getString("budget"));
            case "budgets topup" -> budgets.topUp(a.getString("budget"), a.getLong("tokens"), text(a, "id"));
            case "budgets release" ->
                budgets.release(a.getString("holder"), a.getLong("spent"), text(a, "budget"), a.getBoolean("force"));
            case "drain" -> new ServerCommands(store).drain(a.getString("pool"), a.getString("server"));
            case "retire" -> new ServerCommands(store).retire(a.getString("pool"), a.getString("server"));
            case "workspaces list" -> workspaces.list();
            case "workspaces add" -> workspaces.add(a.getString("name"), priority(a.getString("priority")));
            case "workspaces add-key" -> workspaces.addKey(a.getString("name"));
            case "dump" -> instances.dump(a.getString("instance"));
            case "status" -> instances.status();
            default -> throw new IllegalStateException("No command " + command + ".");
        };
    }

    private static Optional<String> text(Namespace a, String name) {
        return Optional.ofNullable(a.getString(name));
    }

    private static Priority priority(String text) {
        return Priority.valueOf(text.toUpperCase(Locale.ROOT));
    }

    /** Arguments override the settings file. */
    private static CtlSettings settings(Namespace a) {
        Optional<CtlSettings> file = text(a, "settings")
                .map(f -> SettingsLoader.load(Path.of(f), CtlSettings.class))
                .map(Hornbeamctl::orFail);
        String address = text(a, "platform")
                .or(() -> file.map(CtlSettings::platformAddress))
                .orElseThrow(() -> missing("--platform"));
        String token =
                text(a, "token").or(() -> file.map(CtlSettings::platformToken)).orElseThrow(() -> missing("--token"));
        if (!address.matches("[0-9.]+:[0-9]{1,5}")) {
            throw new CtlFailure(
                    ResultCode.INVALID_SETTINGS, "--platform is \"" + address + "\". Use ip:port, e.g. 10.0.0.5:7000.");
        }
        return new CtlSettings(
                address, token, text(a, "operatorToken").or(() -> file.flatMap(CtlSettings::operatorToken)));
    }

    private static CtlFailure missing(String option) {
        return new CtlFailure(ResultCode.INVALID_SETTINGS, option + " is missing. Pass it or --settings FILE.");
    }

    private static <T> T orFail(Result<T> result) {
        if (result instanceof Result.Refused<T> refused) {
            throw new CtlFailure(refused.refusal());
        }
        return ((Result.Ok<T>) result).value();
    }
}
