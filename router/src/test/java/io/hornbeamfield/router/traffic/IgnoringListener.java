package io.hornbeamfield.router.traffic;

import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.http.StreamListener;
import java.util.Map;

/** A caller that reads nothing. */
final class IgnoringListener implements StreamListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {}

    @Override
    public void onData(byte[] chunk) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(CallFailure failure) {}
}
