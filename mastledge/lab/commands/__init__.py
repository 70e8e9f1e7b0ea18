"""The sub-commands of `mastledge lab`: each module adds its commands and carries them out."""
