package io.hornbeamfield.ctl;

import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.result.Result;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.ctl.internal.Arguments;
import io.hornbeamfield.ctl.internal.BlockingPlatformClient;
import io.hornbeamfield.ctl.internal.BudgetCommands;
import io.hornbeamfield.ctl.internal.BudgetStore;
import io.hornbeamfield.ctl.internal.CommandException;
import io.hornbeamfield.ctl.internal.ConfigCommands;
import io.hornbeamfield.ctl.internal.ConfigStore;
import io.hornbeamfield.ctl.internal.ExitStatus;
import io.hornbeamfield.ctl.internal.InstanceCommands;
import io.hornbeamfield.ctl.internal.Output;
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
 * The operator's command line tool. Results go to standard output, errors with their code to standard error, and the
 * exit status tells the kind of failure.
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
            Output output = execute(arguments);
            out.println(output.text(arguments.getString("output").equals("table")));
            return output.exitStatus();
        } catch (HelpScreenException e) {
            return ExitStatus.OK;
        } catch (ArgumentParserException e) {
            return reportFailure(new CommandException(
                    ResultCode.MALFORMED_REQUEST, e.getMessage() + ". Run hornbeamctl --help for the arguments."));
        } catch (CommandException e) {
            return reportFailure(e);
        } catch (RuntimeException e) {
            err.println("hornbeamctl: internal error, the outcome is unknown: " + e + ". Report this message.");
            return ExitStatus.INTERNAL;
        }
    }

    private int reportFailure(CommandException e) {
        err.println("hornbeamctl: " + e.code().number() + " " + e.code() + ": " + e.getMessage());
        return ExitStatus.of(e.code());
    }

    private static Output execute(Namespace arguments) {
        CtlSettings settings = settings(arguments);
        try (HttpClient http = HttpClient.create("hornbeamctl")) {
            BlockingPlatformClient platform = new BlockingPlatformClient(
                    new HttpPlatformClient(http, settings.platformAddress(), settings.platformToken()));
            return execute(arguments, settings, platform, http);
        }
    }

    private static Output execute(
            Namespace arguments, CtlSettings settings, BlockingPlatformClient platform, HttpClient http) {
        ConfigStore store = new ConfigStore(platform);
        BudgetStore budgetStore = new BudgetStore(platform);
        ConfigCommands config = new ConfigCommands(store, budgetStore);
        WorkspaceCommands workspaces = new WorkspaceCommands(store);
        InstanceCommands instances = new InstanceCommands(platform, store, http, settings.operatorToken());
        BudgetCommands budgets = new BudgetCommands(budgetStore, platform, instances);
        String command = arguments.getString("command");
        return switch (command) {
            case "apply" -> config.apply(Path.of(arguments.getString("file")));
            case "get" -> config.get();
            case "diff" -> config.diff(Path.of(arguments.getString("file")));
            case "presets list" -> new PresetCommands(store).list();
            case "presets switch" -> new PresetCommands(store).switchTo(arguments.getString("name"));
            case "budgets list" -> budgets.list();
            case "budgets show" -> budgets.show(arguments.getString("budget"));
            case "budgets topup" ->
                budgets.topUp(arguments.getString("budget"), arguments.getLong("tokens"), optional(arguments, "id"));
            case "budgets release" ->
                budgets.release(
                        arguments.getString("holder"),
                        arguments.getLong("spent"),
                        optional(arguments, "budget"),
                        arguments.getBoolean("force"));
            case "drain" -> new ServerCommands(store).drain(arguments.getString("pool"), arguments.getString("server"));
            case "retire" ->
                new ServerCommands(store).retire(arguments.getString("pool"), arguments.getString("server"));
            case "workspaces list" -> workspaces.list();
            case "workspaces add" ->
                workspaces.add(arguments.getString("name"), priority(arguments.getString("priority")));
            case "workspaces add-key" -> workspaces.addKey(arguments.getString("name"));
            case "dump" -> instances.dump(arguments.getString("instance"));
            case "status" -> instances.status();
            default -> throw new IllegalStateException("No command " + command + ".");
        };
    }

    private static Optional<String> optional(Namespace arguments, String name) {
        return Optional.ofNullable(arguments.getString(name));
    }

    private static Priority priority(String text) {
        return Priority.valueOf(text.toUpperCase(Locale.ROOT));
    }

    /** Merges the arguments with the settings file; arguments take precedence. */
    private static CtlSettings settings(Namespace arguments) {
        Optional<CtlSettings> file = optional(arguments, "settings")
                .map(f -> SettingsLoader.load(Path.of(f), CtlSettings.class))
                .map(Hornbeamctl::valueOrThrow);
        String address = optional(arguments, "platform")
                .or(() -> file.map(CtlSettings::platformAddress))
                .orElseThrow(() -> missing("--platform"));
        String token = optional(arguments, "token")
                .or(() -> file.map(CtlSettings::platformToken))
                .orElseThrow(() -> missing("--token"));
        if (!address.matches("[0-9.]+:[0-9]{1,5}")) {
            throw new CommandException(
                    ResultCode.INVALID_SETTINGS, "--platform is \"" + address + "\". Use ip:port, e.g. 10.0.0.5:7000.");
        }
        return new CtlSettings(
                address,
                token,
                optional(arguments, "operatorToken").or(() -> file.flatMap(CtlSettings::operatorToken)));
    }

    private static CommandException missing(String option) {
        return new CommandException(ResultCode.INVALID_SETTINGS, option + " is missing. Pass it or --settings FILE.");
    }

    private static <T> T valueOrThrow(Result<T> result) {
        if (result instanceof Result.Refused<T> refused) {
            throw new CommandException(refused.refusal());
        }
        return ((Result.Ok<T>) result).value();
    }
}
