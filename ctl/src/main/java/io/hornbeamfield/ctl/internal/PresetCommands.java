package io.hornbeamfield.ctl.internal;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Preset;
import io.hornbeamfield.core.result.ResultCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The commands {@code presets list|switch}. */
public final class PresetCommands {
    private final ConfigStore store;

    public PresetCommands(ConfigStore store) {
        this.store = store;
    }

    /** Lists the presets and marks the active one. */
    public Output list() {
        StoredConfig stored = store.loadExisting();
        ConfigHead head = stored.head().orElseThrow();
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("PRESET", "IN FORCE", "HORIZON S", "MAX CONCURRENT", "QUEUE LIMIT", "MIN PRIORITY"));
        Map<String, Preset> presets = new TreeMap<>(head.presets());
        presets.forEach((name, p) -> rows.add(List.of(
                name,
                name.equals(head.activePreset()) ? "yes" : "",
                Long.toString(p.allotmentHorizonSeconds()),
                Integer.toString(p.maxConcurrent()),
                Integer.toString(p.queueLimit()),
                p.minPriority().name().toLowerCase(Locale.ROOT))));
        return Output.of(
                Map.of("revision", stored.revision(), "activePreset", head.activePreset(), "presets", presets), rows);
    }

    /** Makes another preset the active one. */
    public Output switchTo(String name) {
        StoredConfig stored = store.loadExisting();
        ConfigHead head = stored.head().orElseThrow();
        if (!head.presets().containsKey(name)) {
            throw new CommandException(
                    ResultCode.UNKNOWN_PRESET,
                    "There is no preset \"" + name + "\". Use one of: "
                            + String.join(", ", new TreeMap<>(head.presets()).keySet()) + ".");
        }
        long revision =
                store.commit(stored, ConfigDraft.from(head, stored.workspaces()).withActivePreset(name));
        List<List<String>> rows =
                List.of(List.of("REVISION", "IN FORCE", "BEFORE"), List.of("" + revision, name, head.activePreset()));
        return Output.of(Map.of("revision", revision, "activePreset", name, "before", head.activePreset()), rows);
    }
}
