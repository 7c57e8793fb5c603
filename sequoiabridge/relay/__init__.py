"""The path of calls on the users' platform: match, choose, send, repeat where that is safe."""
