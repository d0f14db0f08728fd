package io.hornbeamfield.ctl.internal;

import static net.sourceforge.argparse4j.impl.Arguments.storeTrue;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Defines the command line. The selected command is stored as {@code command}, for example {@code presets switch}. */
public final class Arguments {
    private Arguments() {}

    public static ArgumentParser parser() {
        ArgumentParser p = ArgumentParsers.newFor("hornbeamctl")
                .build()
                .defaultHelp(true)
                .description("Changes and shows the configuration and the budgets of a hornbeamfield fleet.");
        p.addArgument("--platform").metavar("ADDRESS").help("address of the platform, ip:port");
        p.addArgument("--token").help("token of the platform");
        p.addArgument("--operator-token").dest("operatorToken").help("token of the routers' admin ports");
        p.addArgument("--settings")
                .metavar("FILE")
                .help("JSON file with platformAddress, platformToken, operatorToken");
        p.addArgument("--output").choices("json", "table").setDefault("table").help("output format");
        Subparsers commands = p.addSubparsers().metavar("COMMAND");
        addConfigCommands(commands);
        addPresetCommands(commands);
        addBudgetCommands(commands);
        addServerCommands(commands);
        addWorkspaceCommands(commands);
        addInstanceCommands(commands);
        return p;
    }

    private static Subparser command(Subparsers parent, String name, String command, String help) {
        Subparser sub = parent.addParser(name).help(help).description(help);
        sub.setDefault("command", command);
        return sub;
    }

    private static Subparsers group(Subparsers parent, String name, String help) {
        return parent.addParser(name)
                .help(help)
                .description(help)
                .addSubparsers()
                .metavar("SUBCOMMAND");
    }

    private static void addConfigCommands(Subparsers commands) {
        file(command(commands, "apply", "apply", "check a complete or partial document and write it"));
        command(commands, "get", "get", "show the configuration in force");
        file(command(commands, "diff", "diff", "show what apply would change"));
    }

    private static void file(Subparser sub) {
        sub.addArgument("-f", "--file").required(true).metavar("FILE").help("JSON document");
    }

    private static void addPresetCommands(Subparsers commands) {
        Subparsers presets = group(commands, "presets", "show the presets or switch the one in force");
        command(presets, "list", "presets list", "list the presets");
        command(presets, "switch", "presets switch", "put another preset in force")
                .addArgument("name")
                .metavar("NAME");
    }

    private static void addBudgetCommands(Subparsers commands) {
        Subparsers budgets = group(commands, "budgets", "show and change prepaid budgets");
        command(budgets, "list", "budgets list", "list the budgets");
        command(budgets, "show", "budgets show", "show one budget with its holders")
                .addArgument("budget")
                .metavar("BUDGET");
        Subparser topUp = command(budgets, "topup", "budgets topup", "add prepaid tokens");
        topUp.addArgument("budget").metavar("BUDGET");
        topUp.addArgument("tokens").type(Long.class).metavar("TOKENS");
        topUp.addArgument("--id").help("id of the top-up; a repeated id adds the tokens once");
        Subparser release =
                command(budgets, "release", "budgets release", "release the unspent tokens of a stopped holder");
        release.addArgument("--holder").required(true).metavar("I").help("incarnation of the router");
        release.addArgument("--spent")
                .required(true)
                .type(Long.class)
                .metavar("N")
                .help("tokens that the holder spent");
        release.addArgument("--budget").help("needed when the holder has entries in several budgets");
        release.addArgument("--force").action(storeTrue()).help("release although the instance list shows it as live");
    }

    private static void addServerCommands(Subparsers commands) {
        server(command(commands, "drain", "drain", "send no new work to a backend server"));
        server(command(commands, "retire", "retire", "remove a drained backend server from its pool"));
    }

    private static void server(Subparser sub) {
        sub.addArgument("pool").metavar("POOL");
        sub.addArgument("server").metavar("SERVER");
    }

    private static void addWorkspaceCommands(Subparsers commands) {
        Subparsers workspaces = group(commands, "workspaces", "show and add workspaces");
        command(workspaces, "list", "workspaces list", "list the workspaces");
        Subparser add = command(workspaces, "add", "workspaces add", "add a workspace and print its caller key once");
        add.addArgument("name").metavar("NAME");
        add.addArgument("--priority").choices("high", "normal", "low").setDefault("normal");
        command(workspaces, "add-key", "workspaces add-key", "add a caller key to a workspace and print it once")
                .addArgument("name")
                .metavar("NAME");
    }

    private static void addInstanceCommands(Subparsers commands) {
        command(commands, "dump", "dump", "show the state of a router")
                .addArgument("instance")
                .metavar("INSTANCE");
        command(commands, "status", "status", "show the routers and the revisions that they have adopted");
    }
}
