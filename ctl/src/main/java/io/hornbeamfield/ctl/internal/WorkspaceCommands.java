package io.hornbeamfield.ctl.internal;

import com.google.common.hash.Hashing;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.result.ResultCode;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** The commands {@code workspaces list|add|add-key}. Caller keys are printed once and stored as hashes only. */
public final class WorkspaceCommands {
    /** 192 bits, too many to guess. */
    private static final int KEY_BYTES = 24;

    private final ConfigStore store;
    private final SecureRandom random = new SecureRandom();

    public WorkspaceCommands(ConfigStore store) {
        this.store = store;
    }

    /** Lists the workspaces without their key hashes. */
    public Output list() {
        StoredConfig stored = store.loadExisting();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("WORKSPACE", "PRIORITY", "KEYS"));
        List<Map<String, Object>> json = new ArrayList<>();
        stored.workspaces().forEach((name, w) -> {
            String priority = w.priority().name().toLowerCase(Locale.ROOT);
            rows.add(List.of(name, priority, Integer.toString(w.keyHashes().size())));
            json.add(Map.of(
                    "workspace",
                    name,
                    "priority",
                    priority,
                    "keys",
                    w.keyHashes().size()));
        });
        return Output.of(json, rows);
    }

    /** Adds a workspace with one caller key. */
    public Output add(String name, Priority priority) {
        StoredConfig stored = store.loadExisting();
        if (stored.workspaces().containsKey(name)) {
            throw new CommandException(
                    ResultCode.CONFLICT,
                    "Workspace \"" + name + "\" exists already. Run workspaces add-key " + name
                            + " for a further key.");
        }
        return withNewKey(stored, new Workspace(name, List.of(), priority, Optional.empty()));
    }

    /** Adds a caller key to a workspace. */
    public Output addKey(String name) {
        StoredConfig stored = store.loadExisting();
        Workspace workspace = stored.workspaces().get(name);
        if (workspace == null) {
            throw new CommandException(
                    ResultCode.INVALID_CONFIGURATION,
                    "There is no workspace \"" + name + "\". Run workspaces add " + name + ".");
        }
        return withNewKey(stored, workspace);
    }

    private Output withNewKey(StoredConfig stored, Workspace workspace) {
        byte[] bytes = new byte[KEY_BYTES];
        random.nextBytes(bytes);
        String key = "hbf_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        List<String> hashes = new ArrayList<>(workspace.keyHashes());
        hashes.add(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
        ConfigHead head = stored.head().orElseThrow();
        ConfigDraft draft = ConfigDraft.from(head, stored.workspaces())
                .withWorkspace(new Workspace(
                        workspace.name(), hashes, workspace.priority(), workspace.allotmentHorizonSeconds()));
        long revision = store.commit(stored, draft);
        return Output.of(
                Map.of("revision", revision, "workspace", workspace.name(), "key", key),
                List.of(
                        List.of("REVISION", "WORKSPACE", "KEY (shown once)"),
                        List.of(Long.toString(revision), workspace.name(), key)));
    }
}
