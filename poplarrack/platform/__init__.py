"""Run poplarrack on the users' platform: translate, decide nothing.

Everything that knows the platform's names lives here: settings fields,
header names, store keys and the shapes of messages.
"""
